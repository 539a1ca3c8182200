#pragma once

#include "core/time.h"

#include <cstdint>

namespace baobabtrail::impl {

/// \brief Adaptive limit of concurrent attempts at a target, derived from their outcomes.
///
/// Starts at the configured slots. A shed attempt lowers it. Enough successes at full use, while
/// the service time doesn't grow, raise it again, to at most a quarter above the configured slots.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(std::uint32_t slots = 1) noexcept { setSlots(slots); }

    /// \brief Sets the configured slots and scales the limit in proportion.
    void setSlots(std::uint32_t slots) noexcept;

    /// \param running Attempts that ran at its end, including this one.
    /// \param runTime Time from the dispatch to the end.
    void succeeded(std::uint32_t running, Duration runTime) noexcept;
    void shed(TimePoint now) noexcept;

    [[nodiscard]] double value() const noexcept { return m_limit; }
    /// \param share Share of the limit that may be used, from 0 to 1.
    /// \return Number of attempts that may run at once; at least one.
    [[nodiscard]] std::uint32_t maxAttempts(double share = 1.0) const noexcept;
    /// \return Average service time; 0 before the first success.
    [[nodiscard]] Duration serviceTime() const noexcept;

private:
    double m_slots = 1;
    double m_limit = 1;
    double m_recent = 0;           ///< Service time in microseconds, averaged over few attempts.
    double m_baseline = 0;         ///< The same over many attempts.
    double m_fullUseSuccesses = 0; ///< Successes at full use since the limit last changed.
    TimePoint m_lastShed = TimePoint::min();
};

} // namespace baobabtrail::impl
