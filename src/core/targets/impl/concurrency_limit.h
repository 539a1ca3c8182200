#pragma once

#include "core/time.h"

#include <cstdint>

namespace baobabtrail::impl {

/// \brief How many attempts a target sustains at once, learnt from how attempts end.
///
/// Starts at the configured slots. A shed lowers it; a full round of successes at full use, without
/// growth of the service time, raises it again, a quarter above the configured slots at most.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(std::uint32_t slots = 1) noexcept { setSlots(slots); }

    /// \brief Takes the configured slots; what was learnt is kept as a share of them.
    void setSlots(std::uint32_t slots) noexcept;

    /// \param running Attempts that ran, this one included. \param runTime From dispatch to end.
    void succeeded(std::uint32_t running, Duration runTime) noexcept;
    void shed(TimePoint now) noexcept;

    [[nodiscard]] double value() const noexcept { return m_limit; }
    /// \return Whole attempts that may run at once, at least one.
    [[nodiscard]] std::uint32_t maxAttempts(double share = 1.0) const noexcept;
    /// \return Mean service time, or zero where none was seen.
    [[nodiscard]] Duration serviceTime() const noexcept;

private:
    double m_slots = 1;
    double m_limit = 1;
    double m_recent = 0;           ///< Service time in microseconds, over the last few attempts.
    double m_baseline = 0;         ///< The same over many attempts.
    double m_fullUseSuccesses = 0; ///< Successes at full use since the limit moved last.
    TimePoint m_lastShed = TimePoint::min();
};

} // namespace baobabtrail::impl
