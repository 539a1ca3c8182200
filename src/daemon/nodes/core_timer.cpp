#include "daemon/nodes/core_timer.h"

#include "daemon/clock.h"

#include <algorithm>

namespace baobabtrail::daemon {

CoreTimer::CoreTimer(boost::asio::io_context &context,
                     std::function<std::optional<TimePoint>()> next, std::function<void()> expired)
    : m_timer(context)
    , m_next(std::move(next))
    , m_expired(std::move(expired))
{
}

void CoreTimer::update()
{
    const std::optional<TimePoint> next = m_next();
    if (!next || (m_armed && *m_armed <= *next))
        return;
    m_armed = next;
    m_timer.start(std::max(*next - monotonicNow(), Duration::zero()), [this] { fired(); });
}

void CoreTimer::fired()
{
    m_armed.reset();
    const std::optional<TimePoint> next = m_next();
    if (next && *next <= monotonicNow())
        m_expired();
    update();
}

} // namespace baobabtrail::daemon
