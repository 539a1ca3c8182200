#include "core/control/backoff.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace baobabtrail {

namespace {

[[nodiscard]] Duration between(Random &random, Duration low, Duration high)
{
    return Duration{
        boost::random::uniform_int_distribution<Duration::rep>{low.count(), high.count()}(random)};
}

} // namespace

Duration Backoff::next(Random &random, Duration atLeast)
{
    const Duration wait = between(random, m_next / 2, m_next);
    m_next = std::min(m_next * 2, m_max);
    if (wait >= atLeast)
        return wait;
    return atLeast + wait / 2;
}

Duration withJitter(Random &random, Duration period)
{
    return between(random, period * 3 / 4, period);
}

} // namespace baobabtrail
