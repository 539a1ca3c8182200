#pragma once

#include "core/time.h"

#include <cstdint>

namespace baobabtrail {

/// \brief Limits retries to a percentage of first attempts, so that they can't amplify an overload.
///
/// Every first attempt adds a fraction of a token, every retry spends a whole one. The bucket
/// starts full, so that a workspace with few requests can retry too.
class RetryBudget
{
public:
    /// \param percent Retries per hundred first attempts. \param reserve Maximum balance, in
    /// retries.
    explicit RetryBudget(std::uint32_t percent = 10, double reserve = 10.0) noexcept
        : m_earned(percent / 100.0)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }

    void firstAttempt() noexcept;
    /// \brief Takes one retry from the balance.
    /// \return Whether the retry may be made.
    [[nodiscard]] bool spend() noexcept;
    [[nodiscard]] double balance() const noexcept { return m_balance; }

private:
    double m_earned;
    double m_reserve;
    double m_balance;
};

} // namespace baobabtrail
