#pragma once

/// \file
/// \brief Consumers that keep flows open and send request after request on them.

#include "ends.h"

namespace review {

/// \brief A reset of an open flow that did not come from its server.
struct SystemReset
{
    double at = 0;
    Endpoint client;
    Endpoint route;
    Endpoint daemon;
    std::string request; ///< In flight, if any.
};

/// \brief What all consumers have seen.
struct ClientLog
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;  ///< Flows reset before they opened.
    std::size_t unopened = 0; ///< Flows that got no SYN+ACK in 1.4 s.
    std::size_t timedOut = 0; ///< Requests without an answer in their time budget.
    std::size_t wrong = 0;
    std::vector<SystemReset> resets;
};

/// \brief One consumer with an address of its own. It keeps \a flows flows open.
class Client
{
public:
    using Choose = std::function<std::optional<Endpoint>(const Endpoint &client)>;

    Client(asio::io_context &context, const Endpoint &address, const Endpoint &route, int flows,
           Choose choose, ClientLog &log, Record &record)
        : m_context(context)
        , m_end(context, address,
                [this](std::string_view bytes, const Endpoint &from) { receive(bytes, from); })
        , m_address(address)
        , m_route(route)
        , m_choose(std::move(choose))
        , m_log(log)
        , m_record(record)
        , m_flowsKept(flows)
    {
    }

    void start()
    {
        for (int index = 0; index < m_flowsKept; ++index)
            after(m_context, std::chrono::milliseconds{37 * index + (m_address.address % 97) * 11},
                  [this] { open(); });
    }
    void stop() { m_stopped = true; }

    Clock::duration maxFlowAge = 40s; ///< Well below flow_ttl_s.

private:
    static constexpr auto TimeBudget = 2000ms;

    struct Flow
    {
        std::uint16_t port = 0;
        std::uint32_t first = 0;
        std::uint32_t seq = 0;
        std::uint32_t ack = 0;
        std::uint32_t echo = 0;
        bool open = false;
        std::string id;      ///< Of the request in flight.
        std::string request; ///< Its bytes.
        int tries = 0;
        int step = 0; ///< Counts timers; older ones are void.
        Clock::time_point openedAt{};
        Clock::time_point askedAt{};
    };

    void open()
    {
        if (m_stopped)
            return;
        const std::uint16_t port = ++m_lastPort;
        Flow &flow = m_flows[port];
        flow.port = port;
        flow.first = 0x10000000U + port * 0x10001U;
        flow.seq = flow.first + 1;
        sendSyn(port);
    }

    void sendSyn(std::uint16_t port)
    {
        const auto found = m_flows.find(port);
        if (found == m_flows.end() || found->second.open)
            return;
        Flow &flow = found->second;
        if (flow.tries == 3) {
            ++m_log.unopened;
            drop(port);
            return;
        }
        Packet packet = packetOf(flow);
        packet.seq = flow.first;
        packet.ack = static_cast<std::uint32_t>(flow.tries);
        packet.echo = 0;
        packet.flags = Packet::Syn;
        send(packet);
        constexpr std::array<std::chrono::milliseconds, 3> waits{200ms, 400ms, 800ms};
        after(m_context, waits[static_cast<std::size_t>(flow.tries++)],
              [this, port] { sendSyn(port); });
    }

    void ask(std::uint16_t port)
    {
        const auto found = m_flows.find(port);
        if (found == m_flows.end())
            return;
        Flow &flow = found->second;
        if (m_stopped || Clock::now() - flow.openedAt > maxFlowAge) {
            finish(flow);
            m_flows.erase(found);
            open();
            return;
        }
        ++m_log.asked;
        flow.id = std::to_string(m_address.address & 0xFFFF) + '-' + std::to_string(++m_requests);
        // The work of the kind hold-feed: 22 ms in the mean, 140 ms at most.
        const int work = (m_requests * 7 + m_address.address) % 5 == 0 ? 140 : 40;
        flow.request = flow.id + ' ' + std::to_string(work);
        flow.tries = 0;
        flow.askedAt = Clock::now();
        m_record.line("sent ", flow.id);
        sendRequest(port, ++flow.step);
    }

    void sendRequest(std::uint16_t port, int step)
    {
        const auto found = m_flows.find(port);
        if (found == m_flows.end() || found->second.step != step)
            return;
        Flow &flow = found->second;
        if (Clock::now() - flow.askedAt >= TimeBudget) {
            ++m_log.timedOut;
            m_record.line("no answer ", flow.id);
            drop(port);
            return;
        }
        Packet packet = packetOf(flow);
        packet.flags = Packet::Ack;
        packet.data = flow.request;
        send(packet);
        const auto wait = 200ms * (1 << std::min(flow.tries++, 3));
        after(m_context, wait, [this, port, step] { sendRequest(port, step); });
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
            flow.openedAt = Clock::now();
            flow.ack = packet->seq + 1;
            ask(flow.port);
            return;
        }
        if (packet->data.empty() || !flow.open)
            return;
        if (packet->seq != flow.ack) {
            Packet again = packetOf(flow);
            again.flags = Packet::Ack;
            send(again);
            return;
        }
        if (packet->data != flow.id)
            ++m_log.wrong;
        ++m_log.answered;
        m_record.line("answered ", flow.id);
        flow.ack += static_cast<std::uint32_t>(packet->data.size());
        flow.seq += static_cast<std::uint32_t>(flow.request.size());
        flow.id.clear();
        ++flow.step;
        Packet acknowledgement = packetOf(flow);
        acknowledgement.flags = Packet::Ack;
        send(acknowledgement);
        after(m_context, 700ms, [this, port = flow.port] { ask(port); });
    }

    void reset(Flow &flow, const Packet &packet, const Endpoint &from)
    {
        const std::uint16_t port = flow.port;
        if (!flow.open) {
            ++m_log.refused;
            m_record.line("refused flow ", m_address.address & 0xFFFF, ':', port, " by ",
                          toString(from));
            drop(port);
            return;
        }
        // Within the caller's window, else it has no effect on an open flow.
        if (packet.sum == 0 && std::abs(static_cast<std::int32_t>(packet.seq - flow.ack)) > 76800)
            return;
        if (packet.sum == 0) {
            m_log.resets.push_back(
                {m_record.seconds(), {m_address.address, port}, m_route, from, flow.id});
            m_record.line("open flow ", m_address.address & 0xFFFF, ':', port, " reset by ",
                          toString(from), " during request ", flow.id);
        }
        drop(port);
    }

    void finish(const Flow &flow)
    {
        Packet packet = packetOf(flow);
        packet.flags = Packet::Ack | Packet::Fin;
        send(packet);
    }

    void drop(std::uint16_t port)
    {
        m_flows.erase(port);
        after(m_context, 300ms, [this] { open(); });
    }

    [[nodiscard]] Packet packetOf(const Flow &flow) const
    {
        Packet packet;
        packet.seq = flow.seq;
        packet.ack = flow.ack;
        packet.sum = 1;
        packet.echo = flow.echo;
        packet.source = {m_address.address, flow.port};
        packet.destination = m_route;
        return packet;
    }

    void send(const Packet &packet)
    {
        if (const auto daemon = m_choose(packet.source))
            m_end.send(*daemon, packet.bytes());
    }

    asio::io_context &m_context;
    standins::UdpEnd m_end;
    Endpoint m_address;
    Endpoint m_route;
    Choose m_choose;
    ClientLog &m_log;
    Record &m_record;
    int m_flowsKept;
    std::map<std::uint16_t, Flow> m_flows;
    std::uint16_t m_lastPort = 20000;
    std::uint64_t m_requests = 0;
    bool m_stopped = false;
};

} // namespace review
