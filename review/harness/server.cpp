#include "ends.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

constexpr std::size_t IdBytes = 8;
constexpr auto WorkTime = 50ms; ///< About the mean work of seat-feed and pass-check.
constexpr auto FirstResend = 200ms;
constexpr auto LongestResend = 1600ms;
constexpr int MaxResends = 8;
constexpr int Slots = 3;

std::uint64_t idOf(std::string_view bytes)
{
    std::uint64_t id = 0;
    for (std::size_t index = 0; index < IdBytes; ++index)
        id = id << 8 | static_cast<unsigned char>(bytes[index]);
    return id;
}

} // namespace

Server::Server(asio::io_context &context, Identity identity, std::uint16_t consumerPort,
               const Router &router, ServerLog &log, Record &record)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_consumerPort(consumerPort)
    , m_router(router)
    , m_log(log)
    , m_record(record)
    , m_datagrams(context, m_identity.address,
                  [this](std::string_view bytes, const Address &daemon) { receive(bytes, daemon); })
    , m_health(context, m_identity.address.tcp())
    , m_random(static_cast<std::uint32_t>(m_identity.id))
{
    acceptNext();
}

std::string Server::name() const
{
    char text[32];
    std::snprintf(text, sizeof text, "i-%08llx", static_cast<unsigned long long>(m_identity.id));
    return text;
}

json::object Server::entry(const std::string &state) const
{
    return {{"service", m_identity.service},
            {"address", m_identity.address.text()},
            {"zone", m_identity.zone},
            {"version", "v1"},
            {"slots", Slots},
            {"state", state},
            {"warmup_left_ms", 0},
            {"seq", 1}};
}

// Health probes are answered with 200. Connections without a request are closed by the daemon.
void Server::acceptNext()
{
    const auto socket = std::make_shared<Tcp::socket>(m_context);
    m_health.async_accept(
        *socket, [this, socket, alive = std::weak_ptr{m_alive}](boost::system::error_code error) {
            if (error || alive.expired())
                return;
            const auto buffer = std::make_shared<std::string>();
            asio::async_read_until(
                *socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
                [socket, buffer](boost::system::error_code cut, std::size_t) {
                    static const std::string healthy
                        = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                    if (!cut)
                        asio::async_write(*socket, asio::buffer(healthy),
                                          [socket](boost::system::error_code, std::size_t) {});
                });
            acceptNext();
        });
}

void Server::receive(std::string_view bytes, const Address &daemon)
{
    if (bytes.size() < IdBytes)
        return;
    const std::uint64_t id = idOf(bytes);
    if (id != 0 && id != m_identity.id)
        return; // Meant for another server: nothing is sent.
    const auto packet = Packet::read(bytes.substr(IdBytes));
    if (!packet)
        return;
    const std::string &via = m_router.nameOf(daemon);
    if (packet->has(Packet::Syn)) {
        opening(*packet, via);
        return;
    }
    const Key key{packet->source, packet->destination};
    const auto found = m_flows.find(key);
    const bool known = found != m_flows.end();
    if (known && packet->ack == found->second.first + 1)
        found->second.open = true;
    const bool held = known && found->second.open;
    m_log.arrivals[packet->source].push_back({Clock::now(), name(), via, held});
    if (!known) {
        m_record.line(name() + " gets a packet of a flow that it doesn't hold, from "
                      + packet->source.text() + " via " + via + ", and resets it");
        Flow none;
        none.echo = packet->echo;
        send(key, none, packet->ack, Packet::Rst, {});
        return;
    }
    if (!held) {
        // It answered a SYN of the flow, but the consumer accepted another server.
        m_record.line(name() + " gets a packet of a flow that opened at another server, from "
                      + packet->source.text() + " via " + via);
        return;
    }
    data(*packet, key, found->second);
}

void Server::opening(const Packet &packet, const std::string &daemon)
{
    const Key key{packet.source, packet.destination};
    const auto [found, isNew] = m_flows.try_emplace(key);
    Flow &flow = found->second;
    if (flow.open || flow.ended)
        return;
    flow.echo = packet.echo;
    if (isNew) {
        flow.first = m_random();
        flow.received = packet.seq + 1;
        flow.sent = flow.first + 1;
        flow.openedVia = daemon;
        flow.openedAt = Clock::now();
    }
    m_record.line(name() + " gets a SYN from " + packet.source.text() + " via " + daemon);
    send(key, flow, flow.first, Packet::Syn | Packet::Ack, {});
}

void Server::data(const Packet &packet, const Key &key, Flow &flow)
{
    flow.echo = packet.echo;
    if (!flow.answer.empty() && packet.ack == flow.sent)
        flow.answer.clear();
    if (packet.has(Packet::Fin) || packet.has(Packet::Rst)) {
        flow.ended = true;
        flow.received += 1;
        if (packet.has(Packet::Fin))
            send(key, flow, flow.sent, Packet::Ack, {});
        return;
    }
    if (flow.ended && !packet.data.empty()) {
        send(key, flow, packet.ack, Packet::Rst, {});
        return;
    }
    if (packet.data.empty() || packet.seq != flow.received)
        return; // An acknowledgement, or a copy.
    flow.received += static_cast<std::uint32_t>(packet.data.size());
    m_log.runs.push_back({packet.data, name(), std::to_string(key.second.port), flow.openedVia,
                          flow.openedAt, Clock::now()});
    m_record.line(name() + " runs " + packet.data);
    after(m_context, WorkTime, [this, key, request = packet.data, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            respond(key, request);
    });
}

void Server::respond(const Key &key, const std::string &request)
{
    Flow &flow = m_flows.at(key);
    flow.answer = request;
    flow.sent += static_cast<std::uint32_t>(request.size());
    flow.resends = 0;
    sendAnswer(key);
}

void Server::sendAnswer(const Key &key)
{
    Flow &flow = m_flows.at(key);
    if (flow.answer.empty() || flow.resends > MaxResends)
        return;
    const auto size = static_cast<std::uint32_t>(flow.answer.size());
    const std::uint8_t last = m_draining ? Packet::Fin : 0;
    send(key, flow, flow.sent - size, Packet::Ack | last, flow.answer);
    const auto wait = std::min<Clock::duration>(FirstResend * (1 << flow.resends), LongestResend);
    ++flow.resends;
    after(m_context, wait, [this, key, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            sendAnswer(key);
    });
}

void Server::send(const Key &key, const Flow &flow, std::uint32_t seq, std::uint8_t flags,
                  const std::string &bytes)
{
    Packet out;
    out.seq = seq;
    out.ack = flow.received;
    out.echo = flow.echo;
    out.source = key.second;
    out.destination = key.first;
    out.flags = flags;
    out.data = bytes;
    m_datagrams.send({key.first.ip, m_consumerPort}, out.bytes());
}

} // namespace review
