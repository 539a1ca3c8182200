#pragma once

#include "direct/packet.h"
#include "direct/udp_end.h"
#include "net/restartable_timer.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail::standins {

/// \brief An open flow that a daemon reset without a valid reason.
struct BrokenFlow
{
    Endpoint caller;
    Endpoint route;
    Endpoint daemon;
    std::chrono::system_clock::time_point at;
};

/// \brief Outcomes of all callers of a run.
struct CallerLog
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t singleAnswered = 0; ///< Of these, single requests, each on its own flow.
    std::size_t refused = 0;        ///< Flows reset before they opened.
    std::size_t timedOut = 0;
    std::size_t lost = 0;         ///< Of these, requests on flows that had been open before.
    std::size_t wrongAnswers = 0; ///< Answers that belong to another request.
    std::size_t broken = 0;       ///< Open flows that the balancer reset without a valid reason.
    std::size_t ended = 0;        ///< Open flows that ended for a valid reason.
    std::vector<BrokenFlow> brokenFlows; ///< The broken flows, in order.
};

/// \brief The platform's routers: choose a daemon for each flow by rendezvous hashing, which only
/// moves the flows of daemons that join or leave.
struct Rotation
{
    std::vector<Endpoint> daemons; ///< Daemons in rotation.

    [[nodiscard]] const Endpoint *daemonOf(const Endpoint &caller) const
    {
        const Endpoint *best = nullptr;
        std::size_t highest = 0;
        for (const Endpoint &daemon : daemons) {
            const std::size_t rank
                = std::hash<std::string>{}(toString(caller) + '@' + toString(daemon));
            if (!best || rank > highest) {
                best = &daemon;
                highest = rank;
            }
        }
        return best;
    }
};

/// \brief A caller with its own address: feeds, which send request after request on one flow, and
/// single requests, each on its own flow.
class Caller
{
public:
    using Clock = std::chrono::steady_clock;

    /// \param endExpected Whether the balancer may currently reset open flows to this route.
    Caller(boost::asio::io_context &context, const Endpoint &address, const Rotation &rotation,
           std::function<bool(const Endpoint &route)> endExpected, CallerLog &log)
        : m_context(context)
        , m_end(context, address,
                [this](std::string_view bytes, const Endpoint &from) { receive(bytes, from); })
        , m_address(address)
        , m_rotation(rotation)
        , m_endExpected(std::move(endExpected))
        , m_log(log)
    {
    }

    /// \brief Sends a single request on its own flow; it is retransmitted on that flow only.
    void ask(const Endpoint &route, const std::string &service) { begin(route, service, {}); }

    /// \brief Starts a feed: sends a request on one flow \a pause after each answer, and opens
    /// another flow if it fails.
    void feed(const Endpoint &route, const std::string &service, std::chrono::milliseconds pause)
    {
        begin(route, service, pause);
    }

    [[nodiscard]] const Endpoint &address() const noexcept { return m_address; }
    /// \return Number of answers that its feeds have received.
    [[nodiscard]] std::size_t feedAnswers() const noexcept { return m_feedAnswers; }

    /// \brief Drops all flows, including requests without an answer.
    void stop() { m_flows.clear(); }

private:
    static constexpr std::chrono::milliseconds TimeLimit{2500};
    static constexpr std::chrono::milliseconds OpenLimit{1400};
    static constexpr std::uint32_t FirstSequence = 100;

    struct Flow
    {
        std::uint16_t port = 0;
        Endpoint route;
        std::string service;
        std::optional<std::chrono::milliseconds> pause;
        bool open = false;
        bool requested = false;
        std::uint32_t echo = 0;
        std::uint32_t seq = FirstSequence + 1; ///< Sequence number of the next byte.
        std::uint32_t ack = 0;
        std::string request;
        std::string id;
        int tries = 0;
        Clock::time_point since;
        std::unique_ptr<RestartableTimer> timer;
    };

    void begin(const Endpoint &route, const std::string &service,
               std::optional<std::chrono::milliseconds> pause)
    {
        const std::uint16_t port = ++m_lastPort;
        Flow &flow = m_flows[port];
        flow.port = port;
        flow.route = route;
        flow.service = service;
        flow.pause = pause;
        flow.timer = std::make_unique<RestartableTimer>(m_context);
        newRequest(flow);
        sendSyn(flow);
    }

    void newRequest(Flow &flow)
    {
        ++m_log.asked;
        flow.id = toString(m_address) + '/' + std::to_string(++m_lastRequest);
        flow.request = flow.service + ' ' + flow.id;
        flow.requested = true;
        flow.since = Clock::now();
        flow.tries = 0;
    }

    void sendSyn(Flow &flow)
    {
        Packet packet = packetOf(flow);
        packet.seq = FirstSequence;
        packet.ack = static_cast<std::uint32_t>(flow.tries); // Counts the retransmissions.
        packet.flags = Packet::Syn;
        packet.echo = 0;
        send(packet);
        constexpr std::chrono::milliseconds waits[]{std::chrono::milliseconds{200},
                                                    std::chrono::milliseconds{400},
                                                    std::chrono::milliseconds{800}};
        const auto wait = waits[std::min(flow.tries++, 2)];
        later(flow, wait, [this](Flow &waiting) {
            if (Clock::now() - waiting.since >= OpenLimit)
                fail(waiting.port, m_log.timedOut);
            else
                sendSyn(waiting);
        });
    }

    void sendRequest(Flow &flow)
    {
        Packet packet = packetOf(flow);
        packet.flags = Packet::Ack;
        packet.data = flow.request;
        send(packet);
        const std::chrono::milliseconds wait{200LL << std::min(flow.tries++, 3)};
        later(flow, wait, [this](Flow &waiting) {
            if (Clock::now() - waiting.since < TimeLimit) {
                sendRequest(waiting);
                return;
            }
            ++m_log.lost;
            fail(waiting.port, m_log.timedOut);
        });
    }

    void receive(std::string_view bytes, const Endpoint &from)
    {
        const auto packet = Packet::read(bytes);
        const auto found = packet ? m_flows.find(packet->destination.port) : m_flows.end();
        if (found == m_flows.end())
            return;
        Flow &flow = found->second;
        if (packet->has(Packet::Rst)) {
            reset(flow, *packet, from);
            return;
        }
        flow.echo = packet->echo;
        if (packet->has(Packet::Syn)) {
            if (flow.open)
                return;
            flow.open = true;
            flow.ack = packet->seq + 1;
            flow.tries = 0;
            sendRequest(flow);
            return;
        }
        if (packet->data.empty() || packet->seq != flow.ack || !flow.requested)
            return;
        answered(flow, *packet);
    }

    void answered(Flow &flow, const Packet &packet)
    {
        if (packet.data != flow.id)
            ++m_log.wrongAnswers;
        ++m_log.answered;
        flow.ack += static_cast<std::uint32_t>(packet.data.size());
        flow.seq += static_cast<std::uint32_t>(flow.request.size());
        flow.requested = false;
        Packet acknowledgement = packetOf(flow);
        acknowledgement.flags = Packet::Ack;
        if (!flow.pause)
            acknowledgement.flags |= Packet::Fin;
        send(acknowledgement);
        if (!flow.pause) {
            ++m_log.singleAnswered;
            m_flows.erase(flow.port);
            return;
        }
        ++m_feedAnswers;
        later(flow, *flow.pause, [this](Flow &idle) {
            newRequest(idle);
            sendRequest(idle);
        });
    }

    void reset(Flow &flow, const Packet &packet, const Endpoint &from)
    {
        const bool byBalancer = packet.sum == 0;
        if (!flow.open) {
            fail(flow.port, m_log.refused);
            return;
        }
        if (!byBalancer || m_endExpected(flow.route)) {
            fail(flow.port, m_log.ended);
            return;
        }
        m_log.brokenFlows.push_back(
            {{m_address.address, flow.port}, flow.route, from, std::chrono::system_clock::now()});
        fail(flow.port, m_log.broken);
    }

    void fail(std::uint16_t port, std::size_t &counter)
    {
        ++counter;
        const auto found = m_flows.find(port);
        const Flow failed = std::move(found->second);
        m_flows.erase(found);
        if (failed.pause)
            feedLater(failed.route, failed.service, *failed.pause);
    }

    void feedLater(const Endpoint &route, const std::string &service,
                   std::chrono::milliseconds pause)
    {
        const auto timer = std::make_shared<RestartableTimer>(m_context);
        timer->start(pause, [this, timer, route, service, pause] { begin(route, service, pause); });
    }

    void later(Flow &flow, std::chrono::milliseconds wait, std::function<void(Flow &)> step)
    {
        flow.timer->start(wait, [this, port = flow.port, step = std::move(step)] {
            const auto found = m_flows.find(port);
            if (found != m_flows.end())
                step(found->second);
        });
    }

    [[nodiscard]] Packet packetOf(const Flow &flow) const
    {
        Packet packet;
        packet.seq = flow.seq;
        packet.ack = flow.ack;
        packet.sum = 1;
        packet.echo = flow.echo;
        packet.source = {m_address.address, flow.port};
        packet.destination = flow.route;
        return packet;
    }

    void send(const Packet &packet)
    {
        if (const Endpoint *daemon = m_rotation.daemonOf(packet.source))
            m_end.send(*daemon, packet.bytes());
    }

    boost::asio::io_context &m_context;
    UdpEnd m_end;
    Endpoint m_address;
    const Rotation &m_rotation;
    std::function<bool(const Endpoint &)> m_endExpected;
    CallerLog &m_log;
    std::map<std::uint16_t, Flow> m_flows;
    std::uint16_t m_lastPort = 1023;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_feedAnswers = 0;
};

} // namespace baobabtrail::standins
