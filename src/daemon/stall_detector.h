#pragma once

#include "core/time.h"

#include <algorithm>
#include <optional>

namespace baobabtrail::daemon {

/// \brief Detects that the process, or its whole machine, stood still.
class StallDetector
{
public:
    /// \param threshold Shortest gap that counts as a stall.
    explicit StallDetector(Duration threshold) noexcept
        : m_threshold(threshold)
    {
    }

    /// \brief Announces a check that a timer makes then, unless the process stalls.
    void expectCheck(TimePoint due) noexcept { m_due = due; }

    /// \param steady Time by a clock that stands still while the machine is suspended.
    /// \param boot Time by a clock that goes on meanwhile.
    /// \return The length of a stall that no check has reported yet; nothing where there was none.
    [[nodiscard]] std::optional<Duration> check(TimePoint steady, TimePoint boot) noexcept
    {
        const Duration ahead = boot - steady;
        const Duration suspended = ahead - m_ahead.value_or(ahead);
        const Duration late = steady - m_due.value_or(steady);
        m_ahead = ahead;
        const Duration gap = std::max(late, suspended);
        if (gap < m_threshold)
            return std::nullopt;
        m_due.reset();
        return gap;
    }

private:
    Duration m_threshold;
    std::optional<TimePoint> m_due;
    std::optional<Duration> m_ahead; ///< Of the boot clock, at the last check.
};

} // namespace baobabtrail::daemon
