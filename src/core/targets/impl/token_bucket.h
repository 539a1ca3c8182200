#pragma once

#include "core/time.h"

namespace baobabtrail::impl {

/// \brief A token bucket: limits a rate, with a bounded burst.
class TokenBucket
{
public:
    constexpr TokenBucket(double perSecond, double burst) noexcept
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    [[nodiscard]] bool available(TimePoint now) noexcept
    {
        refill(now);
        return m_tokens >= 1.0;
    }

    void spend() noexcept { m_tokens -= 1.0; }

private:
    void refill(TimePoint now) noexcept
    {
        const double passed = std::chrono::duration<double>(now - m_at).count();
        m_at = now;
        if (passed > 0)
            m_tokens = m_tokens + passed * m_perSecond;
        if (m_tokens > m_burst)
            m_tokens = m_burst;
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_at{};
};

} // namespace baobabtrail::impl
