#include "ends.h"

#include <algorithm>

namespace review {

namespace {

constexpr auto OpeningLimit = 1400ms;
constexpr auto FirstResend = 200ms;
constexpr auto LongestResend = 1600ms;
constexpr int MaxSyns = 3;
/// A reset of the system counts on an open flow only this close to the last acknowledgement.
constexpr std::uint32_t ResetWindow = 76800;

} // namespace

Consumer::Consumer(asio::io_context &context, const Address &address, const Router &router,
                   std::function<std::string(const Address &)> serverAt, Record &record)
    : m_context(context)
    , m_address(address)
    , m_router(router)
    , m_serverAt(std::move(serverAt))
    , m_record(record)
    , m_datagrams(context, address,
                  [this](std::string_view bytes, const Address &from) { receive(bytes, from); })
    , m_random(address.ip)
{
}

std::uint16_t Consumer::ask(const std::string &routeName, const Address &route, bool closes)
{
    const std::uint16_t port = ++m_lastPort;
    Flow &flow = m_flows[port];
    flow.route = route;
    flow.closes = closes;
    flow.seq = m_random();
    OpenedFlow &seen = m_seen[port];
    seen.end = endOf(port);
    seen.route = routeName;
    seen.synAt = Clock::now();
    seen.synVia = m_router.nameOf(m_router.daemonOf(endOf(port), route));
    newRequest(port, flow);
    sendSyn(port);
    return port;
}

void Consumer::askAgain(std::uint16_t port)
{
    const auto found = m_flows.find(port);
    if (found == m_flows.end() || !found->second.open || found->second.waiting)
        return;
    newRequest(port, found->second);
    sendRequest(port);
}

void Consumer::newRequest(std::uint16_t port, Flow &flow)
{
    flow.request = m_requests.size();
    flow.waiting = true;
    flow.tries = 0;
    const std::string id = m_address.host() + '-' + std::to_string(m_requests.size());
    m_requests.push_back({id, m_seen[port].route, endOf(port), Clock::now(), {}, false});
    m_seen[port].requestIds.push_back(id);
}

void Consumer::sendSyn(std::uint16_t port)
{
    Flow &flow = m_flows.at(port);
    const auto sentAgo = Clock::now() - m_seen[port].synAt;
    if (sentAgo >= OpeningLimit) {
        m_record.line(endOf(port).text() + " didn't open");
        m_flows.erase(port);
        return;
    }
    if (flow.tries < MaxSyns) {
        m_record.line(endOf(port).text() + " sends SYN " + std::to_string(flow.tries) + " to route "
                      + m_seen[port].route + " for " + m_requests[flow.request].id + " via "
                      + m_router.nameOf(m_router.daemonOf(endOf(port), flow.route)));
        send(port, flow, flow.seq, static_cast<std::uint32_t>(flow.tries), Packet::Syn, {});
    }
    ++flow.tries;
    constexpr std::array<Clock::duration, MaxSyns> waits{200ms, 400ms, 800ms};
    const auto index = std::min<std::size_t>(static_cast<std::size_t>(flow.tries) - 1, 2);
    later(port, waits[index], [this, port] { sendSyn(port); });
}

void Consumer::sendRequest(std::uint16_t port)
{
    Flow &flow = m_flows.at(port);
    const Request &request = m_requests[flow.request];
    if (Clock::now() - request.sentAt >= TimeBudget) {
        m_record.line(endOf(port).text() + " gives up " + request.id);
        m_flows.erase(port);
        return;
    }
    m_record.line(endOf(port).text() + " sends " + request.id + " (copy "
                  + std::to_string(flow.tries) + ") via "
                  + m_router.nameOf(m_router.daemonOf(endOf(port), flow.route)));
    send(port, flow, flow.seq, flow.ack, Packet::Ack, request.id);
    const auto wait = std::min<Clock::duration>(FirstResend * (1 << flow.tries), LongestResend);
    ++flow.tries;
    later(port, wait, [this, port] { sendRequest(port); });
}

void Consumer::receive(std::string_view bytes, const Address &sender)
{
    const auto packet = Packet::read(bytes);
    const auto found = packet ? m_flows.find(packet->destination.port) : m_flows.end();
    if (found == m_flows.end())
        return;
    const std::uint16_t port = found->first;
    Flow &flow = found->second;
    if (packet->has(Packet::Rst)) {
        reset(port, flow, *packet, sender);
        return;
    }
    // "The consumer and the server each place in their own packets the last `echo` that they
    // received on a flow."
    flow.echo = packet->echo;
    if (packet->has(Packet::Syn)) {
        if (flow.open) {
            m_record.line(endOf(port).text() + " gets a further SYN+ACK, from "
                          + m_serverAt(sender));
            return;
        }
        flow.open = true;
        flow.seq += 1;
        flow.ack = packet->seq + 1;
        flow.tries = 0;
        m_seen[port].openedAt = Clock::now();
        m_seen[port].server = m_serverAt(sender);
        m_record.line(endOf(port).text() + " opens at " + m_seen[port].server);
        sendRequest(port);
        return;
    }
    if (!packet->data.empty() && packet->seq == flow.ack && flow.waiting)
        answered(port, flow, *packet);
}

void Consumer::answered(std::uint16_t port, Flow &flow, const Packet &packet)
{
    Request &request = m_requests[flow.request];
    request.answeredAt = Clock::now();
    request.wrongAnswer = packet.data != request.id;
    m_record.line(endOf(port).text() + " gets the answer to " + request.id
                  + (request.wrongAnswer ? ": a wrong one, " + packet.data : std::string{}));
    flow.ack += static_cast<std::uint32_t>(packet.data.size());
    flow.seq += static_cast<std::uint32_t>(request.id.size());
    flow.waiting = false;
    ++flow.turn;
    const bool ends = flow.closes || packet.has(Packet::Fin);
    const std::uint8_t fin = ends ? Packet::Fin : 0;
    send(port, flow, flow.seq, flow.ack, Packet::Ack | fin, {});
    if (ends)
        m_flows.erase(port);
}

void Consumer::reset(std::uint16_t port, const Flow &flow, const Packet &packet,
                     const Address &sender)
{
    const bool bySystem = packet.sum == 0;
    const auto apart = static_cast<std::int32_t>(packet.seq - flow.ack);
    if (bySystem && flow.open && static_cast<std::uint32_t>(std::abs(apart)) > ResetWindow)
        return;
    OpenedFlow &seen = m_seen[port];
    seen.resetAt = Clock::now();
    seen.resetBy = bySystem ? m_router.nameOf(sender) : m_serverAt(sender);
    m_record.line(endOf(port).text() + " is reset by " + seen.resetBy);
    m_flows.erase(port);
}

void Consumer::send(std::uint16_t port, const Flow &flow, std::uint32_t seq, std::uint32_t ack,
                    std::uint8_t flags, const std::string &data)
{
    Packet out;
    out.seq = seq;
    out.ack = ack;
    out.echo = (flags & Packet::Syn) != 0 ? 0 : flow.echo;
    out.source = endOf(port);
    out.destination = flow.route;
    out.flags = flags;
    out.data = data;
    m_datagrams.send(m_router.daemonOf(endOf(port), flow.route), out.bytes());
}

void Consumer::later(std::uint16_t port, Clock::duration wait, std::function<void()> step)
{
    const std::uint64_t turn = ++m_flows.at(port).turn;
    after(m_context, wait, [this, port, turn, step = std::move(step)] {
        const auto found = m_flows.find(port);
        if (found != m_flows.end() && found->second.turn == turn)
            step();
    });
}

} // namespace review
