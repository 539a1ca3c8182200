#pragma once

#include "core/keys.h"
#include "core/traffic/traffic_node.h"
#include "daemon/nodes/core_timer.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace baobabtrail::daemon {

/// \brief Callbacks that carry out a traffic node's actions.
struct TrafficCallbacks
{
    std::function<void(const Endpoint &, std::string)> toCaller;
    std::function<void(const Endpoint &, std::string)> toPeer;
    std::function<void(const Endpoint &, std::string)> toTarget;
    std::function<void(const OpenLink &)> openLink;
    std::function<void(const CloseLink &)> closeLink;
    std::function<void(const SendOnLink &)> sendOnLink;
    std::function<void(const ProposeCommand &)>
        propose; ///< Posted; never called from within handle().
    std::function<void(const Notice &)> notice;
    std::function<void(const Observation &)> observe;
    std::function<void()> stopped;
};

/// \brief Drives a TrafficNode: passes it events, the time and its timer, and carries out its
/// actions.
class TrafficRunner
{
public:
    TrafficRunner(boost::asio::io_context &context, const NodeIdentity &identity,
                  const TrafficSettings &settings, std::shared_ptr<const KeyRing> keys,
                  std::uint64_t seed, TrafficCallbacks callbacks, FailureHandler failed);
    TrafficRunner(const TrafficRunner &) = delete;
    TrafficRunner &operator=(const TrafficRunner &) = delete;

    void handle(TrafficEvent event);

    [[nodiscard]] const TrafficNode &node() const noexcept { return m_node; }

private:
    /// \return A handler that marks the node as broken. After an exception it may hold a
    /// half-applied change, so it gets no further events.
    [[nodiscard]] FailureHandler failureHandler();
    void perform();
    void perform(SendToCaller &action);
    void perform(SendToPeer &action);
    void perform(SendToTarget &action);
    void perform(OpenLink &action) { m_callbacks.openLink(action); }
    void perform(CloseLink &action) { m_callbacks.closeLink(action); }
    void perform(SendOnLink &action) { m_callbacks.sendOnLink(action); }
    void perform(ProposeCommand &action);
    void perform(Notice &action) { m_callbacks.notice(action); }
    void perform(Observation &action) { m_callbacks.observe(action); }
    void perform(Stopped &) { m_callbacks.stopped(); }

    boost::asio::io_context &m_context;
    NodeIdentity m_identity;
    std::shared_ptr<const KeyRing> m_keys;
    TrafficCallbacks m_callbacks;
    FailureHandler m_failed;
    TrafficNode m_node;
    TrafficActions m_actions;
    CoreTimer m_timer;
    bool m_broken = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail::daemon
