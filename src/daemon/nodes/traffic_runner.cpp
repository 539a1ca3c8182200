#include "daemon/nodes/traffic_runner.h"

#include "daemon/clock.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

namespace baobabtrail::daemon {

TrafficRunner::TrafficRunner(boost::asio::io_context &context, const NodeIdentity &identity,
                             const TrafficSettings &settings, std::shared_ptr<const KeyRing> keys,
                             std::uint64_t seed, TrafficCallbacks callbacks, FailureHandler failed)
    : m_context(context)
    , m_identity(identity)
    , m_keys(std::move(keys))
    , m_callbacks(std::move(callbacks))
    , m_failed(std::move(failed))
    , m_node(identity, settings, m_keys, seed)
    , m_timer(
          context, [this] { return m_node.nextTimer(); }, [this] { handle(TimerExpired{}); })
{
    m_timer.update();
}

void TrafficRunner::handle(TrafficEvent event)
{
    if (m_broken)
        return;
    guarded(failureHandler(), [&] {
        m_node.handle(std::move(event), monotonicNow(), m_actions);
        perform();
        m_timer.update();
    });
}

FailureHandler TrafficRunner::failureHandler()
{
    return [this](const std::string &why) {
        m_broken = true;
        m_failed(why);
    };
}

void TrafficRunner::perform()
{
    for (TrafficAction &action : m_actions)
        std::visit([this](auto &wanted) { perform(wanted); }, action);
    m_actions.clear();
}

void TrafficRunner::perform(SendToCaller &action)
{
    m_callbacks.toCaller(action.caller, wire::encode(action.message));
}

void TrafficRunner::perform(SendToPeer &action)
{
    const PeerDatagram datagram{m_identity.daemon, m_identity.incarnation,
                                std::move(action.message)};
    m_callbacks.toPeer(action.peer, wire::encode(datagram, *m_keys));
}

void TrafficRunner::perform(SendToTarget &action)
{
    m_callbacks.toTarget(action.target, wire::encode(action.datagram));
}

void TrafficRunner::perform(ProposeCommand &action)
{
    // Posted, since the control core may publish a configuration immediately. That is an event for
    // this node, which must not be handled before the actions of the current event are done.
    boost::asio::post(m_context, [this, action, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            m_callbacks.propose(action);
    });
}

} // namespace baobabtrail::daemon
