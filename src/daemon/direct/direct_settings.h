#pragma once

#include "core/direct/direct_node.h"
#include "daemon/settings/settings.h"

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Addresses at which a daemon that forwards directly listens.
struct DirectAddresses
{
    Endpoint packets;   ///< UDP; receives the packets of callers.
    Endpoint readiness; ///< TCP, HTTP; polled by what spreads packets over daemons.
    Endpoint metrics;   ///< TCP, HTTP; null if disabled.
    Endpoint peers;     ///< TCP, HTTP; queried by other daemons. Null if disabled.
    /// Address at which other daemons reach \a peers if it differs, for example behind a relay;
    /// null otherwise.
    Endpoint peersReachedAt;
    /// UDP; usage reports of other daemons. Null if disabled.
    Endpoint usage;

    /// \return The address by which other daemons know this one.
    [[nodiscard]] const Endpoint &identity() const noexcept
    {
        return peersReachedAt.isNull() ? peers : peersReachedAt;
    }
    /// \return Where a peer receives usage reports: at the port that all daemons use, or, where
    /// that is the one for queries, at the peer's own.
    [[nodiscard]] Endpoint usageAddressOf(const Endpoint &peer) const noexcept
    {
        if (peer.isNull() || usage.port == peers.port)
            return peer;
        return {peer.address, usage.port};
    }
};

/// \brief Settings of a daemon that forwards directly.
struct DirectDaemonSettings
{
    std::string name;
    std::string domain;
    DirectAddresses addresses;
    PlatformClientSettings store;
    /// The process is killed this long after SIGTERM, so it has to end before.
    Duration killedAfter = 6s;
    /// A stopping daemon that has received no packet for this long has been taken out of rotation,
    /// since it receives hundreds a second before. A longer time would make the stops of a rolling
    /// restart overlap, until a failure domain has no other daemon left.
    Duration stopLinger = 400ms;
    SocketSettings sockets;
    AdministrationSettings http;
    LogSettings log;
    RestartPolicy restarts;
    /// Addresses of the daemons that watch the store; the others copy the directory from these.
    std::vector<Endpoint> roots;
    DirectNodeSettings node;
};

} // namespace baobabtrail::daemon
