#pragma once

#include "fleet.h"

#include "core/time.h"

#include <optional>
#include <string>

namespace baobabtrail::bench {

enum class Fault {
    None,
    SlowTarget, ///< One target takes five times as long.
    ColdTarget, ///< One target is added; it is four times slower at first, level after ten seconds.
    LyingEmpty, ///< One target always reports that it runs and holds nothing.
    LyingFull,  ///< One target always reports that it is full.
    LateReports, ///< All reports are one second old.
    Drain,       ///< One target is drained.
    DaemonJoins, ///< One daemon starts.
    DaemonDies,  ///< One daemon dies; the others' views show it viewDelay later.
    HalfWeight,  ///< One target's weight is halved (flows only).
};

/// \brief What is offered and what goes wrong.
struct Scenario
{
    std::string name;
    double load = 0.9; ///< Offered over the capacity of all targets.
    bool bursty = false;
    Fault fault = Fault::None;
    bool mixed = false; ///< Three classes, and one of four workspaces sends seven tenths of all.
    Duration length = 60s;
    Duration faultAt = 5s;
    Duration measuredFrom = 2s;
    Duration viewDelay = 5s; ///< From a daemon's death to the others' new views.
};

inline constexpr Duration MeanService = 20ms;

} // namespace baobabtrail::bench
