#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace baobabtrail::test {

/// \brief Counts the connections of one daemon's HTTP server that its clients open and keep alive.
class FakeConnections
{
public:
    /// Idle connections are closed after this time, as by the daemon's HTTP server.
    static constexpr Duration IdleTimeout = 10s;

    /// \param kept Maximum of connections that are kept alive; further ones are closed after their
    /// first answer.
    explicit FakeConnections(std::size_t kept = 64) noexcept
        : m_kept(kept)
    {
    }

    /// \brief A client starts a call.
    /// \return Whether its connection is closed after the answer.
    [[nodiscard]] bool begin(std::size_t client, TimePoint now)
    {
        expire(now);
        Client &known = m_clients[client];
        const bool reused = known.idle > 0;
        const bool once = !reused && open() >= m_kept;
        known.idle -= reused;
        ++known.busy;
        m_most = std::max(m_most, open());
        return once;
    }

    /// \brief A call has ended.
    /// \param keeps Whether the client keeps the connection for another call.
    void end(std::size_t client, TimePoint now, bool keeps)
    {
        Client &known = m_clients[client];
        --known.busy;
        known.idle += keeps;
        known.idleSince = now;
    }

    [[nodiscard]] std::size_t open() const
    {
        std::size_t count = 0;
        for (const auto &[client, known] : m_clients)
            count += known.busy + known.idle;
        return count;
    }
    /// \return Maximum of connections that were open at once.
    [[nodiscard]] std::size_t most() const noexcept { return m_most; }

private:
    struct Client
    {
        std::size_t busy = 0;
        std::size_t idle = 0;
        TimePoint idleSince{};
    };

    void expire(TimePoint now)
    {
        for (auto &[client, known] : m_clients) {
            if (now - known.idleSince > IdleTimeout)
                known.idle = 0;
        }
    }

    std::size_t m_kept;
    std::size_t m_most = 0;
    std::map<std::size_t, Client> m_clients;
};

} // namespace baobabtrail::test
