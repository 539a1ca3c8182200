#pragma once

#include "core/random.h"
#include "core/time.h"

namespace baobabtrail {

/// \brief Growing waits with jitter between tries, so that daemons that failed together don't try
/// again together.
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

    /// \param atLeast What the other side asked for.
    /// \return The wait before the next try.
    [[nodiscard]] Duration next(Random &random, Duration atLeast);
    void reset() noexcept { m_next = m_first; }

private:
    Duration m_first = 200ms;
    Duration m_max = 3s;
    Duration m_next = 200ms;
};

/// \return Between three quarters of \a period and all of it.
[[nodiscard]] Duration withJitter(Random &random, Duration period);

} // namespace baobabtrail
