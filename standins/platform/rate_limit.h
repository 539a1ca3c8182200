#pragma once

#include "core/time.h"

#include <algorithm>

namespace baobabtrail::standins {

/// \brief Token bucket; its burst size is the number of calls allowed per second.
class RateLimit
{
public:
    /// \param perSecond Calls allowed per second; 0 for unlimited.
    void set(double perSecond) noexcept
    {
        m_perSecond = perSecond;
        m_tokens = perSecond;
    }

    [[nodiscard]] bool allow(TimePoint now) noexcept
    {
        if (m_perSecond <= 0)
            return true;
        const double seconds = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        m_tokens = std::min(m_perSecond, m_tokens + seconds * m_perSecond);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond = 0;
    double m_tokens = 0;
    TimePoint m_last;
};

} // namespace baobabtrail::standins
