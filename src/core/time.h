#pragma once

#include <chrono>

namespace baobabtrail {

/// \brief Type of the monotonic clock. The core never reads it: every event carries its time.
///
/// The daemon takes the time from the boot clock, tests from a virtual clock. Times of two VMs are
/// not comparable, so a deadline is sent to another VM as the remaining time.
struct CoreClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using Duration = CoreClock::duration;
using TimePoint = CoreClock::time_point;

using namespace std::chrono_literals;

} // namespace baobabtrail
