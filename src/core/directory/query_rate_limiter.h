#pragma once

#include "core/time.h"

#include <cstddef>

namespace baobabtrail {

/// \brief Bounds how often a daemon asks others.
///
/// Daemons that send one on to each other, or whose answers are all out of date, would have it ask
/// as fast as the network goes.
class QueryRateLimiter
{
public:
    /// \return Whether another question may be asked now.
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
    /// A daemon that starts asks down a tree of five levels, and changes may come fast.
    static constexpr std::size_t MaxQueries = 30;

    TimePoint m_periodStart{};
    std::size_t m_queries = 0;
};

} // namespace baobabtrail
