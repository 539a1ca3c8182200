#pragma once

#include "core/time.h"

#include <cstdint>

namespace baobabtrail {

/// \brief Bounds retries to a share of first attempts, so that they never amplify an overload.
///
/// Every first attempt earns a part of a retry, every retry spends a whole one. A small reserve
/// lets a quiet workspace retry at all.
class RetryBudget
{
public:
    /// \param percent Retries for each hundred first attempts. \param reserve Most retries saved
    /// up.
    explicit RetryBudget(std::uint32_t percent = 10, double reserve = 10.0) noexcept
        : m_earned(percent / 100.0)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }

    void firstAttempt() noexcept;
    /// \return Whether a retry may be made; it is spent then.
    [[nodiscard]] bool spend() noexcept;
    [[nodiscard]] double balance() const noexcept { return m_balance; }

private:
    double m_earned;
    double m_reserve;
    double m_balance;
};

} // namespace baobabtrail
