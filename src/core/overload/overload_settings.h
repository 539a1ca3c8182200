#pragma once

#include "core/time.h"

#include <cstddef>

namespace baobabtrail {

/// \brief Settings of the holding of requests for targets that are saturated.
struct OverloadSettings
{
    bool hold = true;        ///< Hold requests here instead of in the queues of the targets.
    bool newestFirst = true; ///< Send the newest request first; else the oldest.
    bool priorities = true;  ///< Send by the route's priority first, then by age.
    /// A target counts as saturated when its average answer takes more than this share of the
    /// promised latency; its window then keeps answers at this share. The rest is left for the
    /// wait here and for requests that take longer than average. Targets with free slots answer
    /// within a quarter to a third of the promised latency.
    double saturatedShare = 0.6;
    /// Bounds of the window: how many requests of this daemon a saturated target has at once. A
    /// target whose window reaches the maximum no longer counts as saturated.
    double minWindow = 0.3;
    double maxWindow = 12.0;
    /// The window changes with every answer (additive increase, multiplicative decrease): it is
    /// multiplied by decreaseFactor while answers are too slow, else increaseStep is added.
    double decreaseFactor = 0.95;
    double increaseStep = 0.15;
    /// Share of the window that late requests may fill, so that the next request that can still be
    /// in time finds room.
    double lateShare = 0.25;
    /// Maximum requests held for one target, and maximum bytes held for all targets. Requests
    /// beyond that are forwarded at once: the target's own queue is bounded too and refuses what
    /// does not fit.
    std::size_t maxHeldPerTarget = 256;
    std::size_t maxHeldBytes = std::size_t{4} << 20;
};

} // namespace baobabtrail
