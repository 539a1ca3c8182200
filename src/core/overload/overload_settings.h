#pragma once

#include "core/time.h"

#include <cstddef>

namespace baobabtrail {

/// \brief Bounds of what is done where callers ask for more than targets carry.
struct OverloadSettings
{
    bool hold = true;        ///< Requests wait here instead of in the targets' own queues.
    bool newestFirst = true; ///< Else the oldest goes first.
    bool priorities = true;  ///< The more urgent goes before the newer.
    /// Share of the promised latency from which on a target counts as saturated, and at which its
    /// answers are kept then: the rest is for the wait here, and for work that takes longer than
    /// most. Targets whose slots are free answer within a quarter to a third of it.
    double saturatedShare = 0.6;
    /// Fewest and most requests of this daemon that a saturated target has at once. At the most, it
    /// counts as saturated no longer.
    double minWindow = 0.3;
    double maxWindow = 12.0;
    /// The window after an answer: so much of it where answers are too slow, else so much more.
    double decreaseFactor = 0.95;
    double increaseStep = 0.15;
    /// Share of the window that requests which are late already may fill: the next one that can
    /// still be in time then finds room.
    double lateShare = 0.25;
    /// Requests that wait for one target, and bytes that wait in all. What comes beyond that goes
    /// on: the target's own queue is bounded too, and answers what does not fit.
    std::size_t maxHeldPerTarget = 256;
    std::size_t maxHeldBytes = std::size_t{4} << 20;
};

} // namespace baobabtrail
