#pragma once

#include "core/random.h"
#include "core/time.h"

namespace baobabtrail {

/// \brief Exponential backoff with jitter, so that daemons that failed at the same time don't retry
/// at the same time.
class Backoff
{
public:
    constexpr Backoff() noexcept = default;
    constexpr Backoff(Duration first, Duration max) noexcept
        : m_first(first)
        , m_max(max)
        , m_next(first)
    {
    }

    /// \param atLeast Minimum wait that the server asked for.
    /// \return The wait before the next attempt.
    [[nodiscard]] Duration next(Random &random, Duration atLeast);
    void reset() noexcept { m_next = m_first; }

private:
    Duration m_first = 200ms;
    Duration m_max = 3s;
    Duration m_next = 200ms;
};

/// \return A random duration between three quarters of \a period and the whole of it.
[[nodiscard]] Duration withJitter(Random &random, Duration period);

} // namespace baobabtrail
