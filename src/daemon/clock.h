#pragma once

#include "core/time.h"

#include <chrono>
#include <ctime>

namespace baobabtrail::daemon {

/// \return The monotonic time at which events are passed to the core. It also advances while the
/// machine is suspended, so that what waited meanwhile is as old as it is for everybody else.
[[nodiscard]] inline TimePoint monotonicNow() noexcept
{
    timespec time{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &time); // Fails only where Linux is older than 2.6.39.
    const auto sinceBoot
        = std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    return TimePoint{std::chrono::duration_cast<Duration>(sinceBoot)};
}

/// \return The wall-clock time; it may be stepped.
[[nodiscard]] inline std::chrono::sys_time<std::chrono::nanoseconds> preciseWallNow() noexcept
{
    return std::chrono::time_point_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now());
}

/// \return The wall-clock time, truncated to whole seconds.
[[nodiscard]] inline std::chrono::sys_seconds wallNow() noexcept
{
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

} // namespace baobabtrail::daemon
