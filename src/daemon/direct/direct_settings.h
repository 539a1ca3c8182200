#pragma once

#include "core/direct/direct_node.h"
#include "daemon/settings/settings.h"

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Addresses of a daemon whose targets answer callers directly.
struct DirectAddresses
{
    Endpoint packets;   ///< UDP; packets of callers.
    Endpoint readiness; ///< TCP, HTTP; whoever spreads packets over daemons asks here.
    Endpoint metrics;   ///< TCP, HTTP; null for none.
    Endpoint peers;     ///< TCP, HTTP; other daemons ask here. Null for none.
    /// Where they reach \a peers, if it is not there, as behind a relay; null where it is.
    Endpoint peersReachedAt;

    /// \return The address by which other daemons know this one.
    [[nodiscard]] const Endpoint &identity() const noexcept
    {
        return peersReachedAt.isNull() ? peers : peersReachedAt;
    }
};

/// \brief All that the settings file of such a daemon says.
struct DirectDaemonSettings
{
    std::string name;
    std::string domain;
    DirectAddresses addresses;
    PlatformClientSettings store;
    /// The process is killed this long after SIGTERM.
    Duration killedAfter = 6s;
    /// Without a packet for this long, a daemon that stops has been taken out of the rotation: it
    /// gets hundreds a second before. A longer one makes the stops of a rolling restart overlap,
    /// until a failure domain has nobody else left.
    Duration stopLinger = 400ms;
    SocketSettings sockets;
    AdministrationSettings http;
    LogSettings log;
    RestartPolicy restarts;
    /// Addresses of daemons that watch the store; the others have their copies from these.
    std::vector<Endpoint> roots;
    DirectNodeSettings node;
};

} // namespace baobabtrail::daemon
