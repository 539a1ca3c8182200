#pragma once

#include "core/time.h"

#include <chrono>
#include <ctime>

namespace baobabtrail::daemon {

/// \return The monotonic time at which events are passed to the core.
[[nodiscard]] inline TimePoint monotonicNow() noexcept
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint{std::chrono::duration_cast<Duration>(sinceBoot)};
}

/// \return As monotonicNow(), but from a clock that also advances while the machine is suspended.
[[nodiscard]] inline TimePoint bootNow() noexcept
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return monotonicNow();
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
