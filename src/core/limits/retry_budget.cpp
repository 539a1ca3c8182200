#include "core/limits/retry_budget.h"

#include <algorithm>

namespace baobabtrail {

void RetryBudget::firstAttempt() noexcept
{
    m_balance = std::min(m_reserve, m_balance + m_earned);
}

bool RetryBudget::spend() noexcept
{
    if (m_balance < 1.0)
        return false;
    m_balance -= 1.0;
    return true;
}

} // namespace baobabtrail
