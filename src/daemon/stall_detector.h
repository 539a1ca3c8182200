#pragma once

#include "core/time.h"

#include <optional>

namespace baobabtrail::daemon {

/// \brief Detects that the process, or its whole machine, stood still.
///
/// A stall is noticed however it lies to the checks, once it is as long as the threshold. One that
/// is shorter by less than the time between two checks may be noticed as well.
class StallDetector
{
public:
    /// \param threshold Shortest time without a check that counts as a stall; longer than the time
    /// between two checks.
    StallDetector(Duration threshold, TimePoint now) noexcept
        : m_threshold(threshold)
        , m_checkedAt(now)
    {
    }

    /// \brief To be called by a timer, and before anything is handled that may have waited.
    /// \param now By a clock that also advances while the machine is suspended.
    /// \return Time without a check, where it counts as a stall; nothing otherwise.
    [[nodiscard]] std::optional<Duration> check(TimePoint now) noexcept
    {
        const Duration gap = now - m_checkedAt;
        m_checkedAt = now;
        return gap < m_threshold ? std::nullopt : std::optional{gap};
    }

private:
    Duration m_threshold;
    TimePoint m_checkedAt;
};

} // namespace baobabtrail::daemon
