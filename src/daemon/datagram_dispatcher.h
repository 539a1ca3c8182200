#pragma once

#include "core/control/events.h"
#include "core/keys.h"
#include "core/traffic/events.h"
#include "daemon/metrics/metrics.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Decodes the datagrams of the two UDP sockets, dispatches them as events to the traffic
/// and the control core, and counts those that it drops.
class DatagramDispatcher
{
public:
    /// \param fabric IPv4 addresses whose PROXY headers are trusted.
    DatagramDispatcher(std::vector<std::uint32_t> fabric, std::shared_ptr<const KeyRing> keys,
                       Counters &counters, std::function<void(TrafficEvent)> toTraffic,
                       std::function<void(ControlEvent)> toControl);

    /// \brief Handles a datagram of the data socket: from a caller or a target, through the fabric.
    void fromFabric(const Endpoint &from, std::string_view bytes);
    /// \brief Handles a datagram of the peer socket: from a daemon, or from a target that answers
    /// the opening of a flow.
    void fromPeer(const Endpoint &from, std::string_view bytes);

private:
    void handleCaller(const Endpoint &caller, std::string_view bytes);
    void handleTarget(const Endpoint &target, std::string_view bytes, SocketCounters &socket);

    std::vector<std::uint32_t> m_fabric;
    std::shared_ptr<const KeyRing> m_keys;
    Counters &m_counters;
    std::function<void(TrafficEvent)> m_toTraffic;
    std::function<void(ControlEvent)> m_toControl;
};

} // namespace baobabtrail::daemon
