#pragma once

#include "fleet.h"

#include "core/time.h"

#include <optional>
#include <string>

namespace baobabtrail::bench {

enum class Fault {
    None,
    SlowTarget,  ///< One target takes five times as long.
    ColdTarget,  ///< One target is added; it starts four times slower and is normal after ten
                 ///< seconds.
    LyingEmpty,  ///< One target always reports an empty load: no requests and no flows.
    LyingFull,   ///< One target always reports that it is full.
    LateReports, ///< All load reports are delayed by one second.
    Drain,       ///< One target is drained.
    DaemonJoins, ///< One daemon starts.
    DaemonDies,  ///< One daemon dies; the others' views show it after viewDelay.
    HalfWeight,  ///< One target's weight is halved (flows only).
};

/// \brief Offered load and the fault of one run.
struct Scenario
{
    std::string name;
    double load = 0.9; ///< Offered load over the capacity of all targets.
    bool bursty = false;
    Fault fault = Fault::None;
    /// Three classes; one of four workspaces sends seven tenths of the requests.
    bool mixed = false;
    Duration length = 60s;
    Duration faultAt = 5s;
    Duration measuredFrom = 2s;
    Duration viewDelay = 5s; ///< Time from a daemon's death until the other daemons' views show it.
};

inline constexpr Duration MeanService = 20ms;

} // namespace baobabtrail::bench
