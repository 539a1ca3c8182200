#pragma once

#include "core/time.h"

#include <cstddef>

namespace baobabtrail {

/// \brief Limits the rate of queries to other daemons.
///
/// Without it, a daemon would query as fast as the network allows where daemons redirect it to each
/// other, or where all answers are stale.
class QueryRateLimiter
{
public:
    /// \return Whether another query may be sent now.
    [[nodiscard]] bool admit(TimePoint now) noexcept
    {
        if (now - m_periodStart >= Period) {
            m_periodStart = now;
            m_queries = 0;
        }
        return ++m_queries <= MaxQueries;
    }

private:
    static constexpr Duration Period = 1s;
    /// A daemon that starts descends a tree of five levels, and changes may follow each other fast.
    static constexpr std::size_t MaxQueries = 30;

    TimePoint m_periodStart{};
    std::size_t m_queries = 0;
};

} // namespace baobabtrail
