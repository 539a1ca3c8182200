#include "net/impl/connection_pool.h"

namespace baobabtrail::impl {

namespace {

/// Longest idle time after which a connection is reused. Servers close idle connections, and a
/// write on one that is about to be closed has an unknown outcome; below this age that is rare.
constexpr auto MaxIdleTime = std::chrono::seconds{5};
constexpr std::size_t MaxIdle = 16;

} // namespace

Connection ConnectionPool::take()
{
    if (m_idle.empty())
        return nullptr;
    Idle newest = std::move(m_idle.back());
    m_idle.pop_back();
    if (std::chrono::steady_clock::now() - newest.since > MaxIdleTime) {
        m_idle.clear();
        return nullptr;
    }
    return std::move(newest.connection);
}

void ConnectionPool::give(Connection connection)
{
    if (m_idle.size() >= MaxIdle)
        m_idle.erase(m_idle.begin());
    m_idle.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

} // namespace baobabtrail::impl
