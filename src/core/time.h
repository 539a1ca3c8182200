#pragma once

#include <chrono>

namespace baobabtrail {

/// \brief A monotonic clock that the core never reads: every event brings its time along.
///
/// The daemon fills it from std::chrono::steady_clock, tests from a virtual clock. Readings of two
/// VMs are not comparable; a time that leaves the VM travels as time left.
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
