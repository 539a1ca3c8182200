#pragma once

#include "core/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <vector>

namespace baobabtrail::impl {

using Connection = std::unique_ptr<boost::beast::tcp_stream>;

/// \brief Idle connections to one server.
///
/// The most recently used one is reused first, so that the surplus of a burst ages and is closed.
class ConnectionPool
{
public:
    /// \return A recently used connection, which leaves the pool, or null.
    [[nodiscard]] Connection take();
    /// \brief Adds a connection that is no longer in use; closes the oldest one of a full pool.
    void give(Connection connection);
    void clear() noexcept { m_idle.clear(); }

private:
    struct Idle
    {
        Connection connection;
        std::chrono::steady_clock::time_point since;
    };

    std::vector<Idle> m_idle;
};

} // namespace baobabtrail::impl
