#pragma once

#include "direct/packet.h"
#include "direct/udp_end.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::standins {

/// \brief A request that a target ran.
struct TargetRun
{
    std::string request;
    std::uint64_t target = 0; ///< Unique for each start of a target.
    Endpoint caller;
    Endpoint daemon; ///< The daemon that forwarded the request.
    std::chrono::system_clock::time_point at;
};

/// \brief Observations of all targets of a run.
struct TargetLog
{
    std::map<std::string, int> runs; ///< Number of runs by request.
    std::vector<TargetRun> record;   ///< Each run, in order.
    std::size_t wrongService = 0;    ///< Requests for another service than the target's.
    std::size_t lateOpens = 0;       ///< Flows opened after the draining bound of their target.
    std::size_t evacuatedOpens = 0;  ///< Flows opened after the evacuation bound of their domain.
    std::size_t coldOpens = 0;       ///< Flows above the limit per second of a cold target.
    /// Packets of flows that opened at another target, by the flow's caller.
    std::map<Endpoint, std::size_t> astray;
};

/// \brief A target that answers its callers directly (direct server return). A request is
/// "SERVICE ID"; the answer is "ID", sent after the work time.
class Target
{
public:
    using Clock = std::chrono::steady_clock;

    /// \param id Prefix of each datagram for this target.
    /// \param callerPort UDP port that all callers use.
    Target(boost::asio::io_context &context, const Endpoint &address, std::uint64_t id,
           std::string service, std::uint16_t callerPort, std::chrono::milliseconds work,
           TargetLog &log)
        : m_context(context)
        , m_end(context, address,
                [this](std::string_view bytes, const Endpoint &daemon) { receive(bytes, daemon); })
        , m_connections(context, {boost::asio::ip::address_v4{address.address}, address.port})
        , m_address(address)
        , m_id(id)
        , m_service(std::move(service))
        , m_callerPort(callerPort)
        , m_work(work)
        , m_log(log)
    {
        acceptNext();
    }

    [[nodiscard]] const Endpoint &address() const noexcept { return m_address; }
    [[nodiscard]] std::uint64_t id() const noexcept { return m_id; }
    [[nodiscard]] const std::string &service() const noexcept { return m_service; }

    /// \brief Counts flows that open after \a time as late.
    void closeAt(Clock::time_point time) { m_closedAt = time; }
    /// \brief Counts flows that open after \a time as evacuated; std::nullopt ends the evacuation.
    void evacuateAt(std::optional<Clock::time_point> time) { m_evacuatedAt = time; }
    /// \brief Marks the target cold until \a time; counts new flows above \a most per second.
    void coldUntil(Clock::time_point time, std::size_t most)
    {
        m_coldUntil = time;
        m_maxColdOpens = most;
    }

private:
    struct Flow
    {
        bool open = false;
        bool ended = false; ///< Retained, as copies of its segments may still arrive.
        std::uint32_t echo = 0;
        std::uint32_t received = 0; ///< Sequence number after the caller's last byte.
        std::uint32_t sent = 0;     ///< Sequence number of the next byte.
        std::string answer;         ///< The last answer, for retransmission.
    };
    /// \brief Initial sequence number. It differs between targets: a flow opens at the target whose
    /// number the caller acknowledges.
    [[nodiscard]] std::uint32_t firstSequence() const noexcept
    {
        constexpr std::uint32_t apart = 100000;
        return static_cast<std::uint32_t>(m_id) * apart;
    }

    void receive(std::string_view bytes, const Endpoint &daemon)
    {
        constexpr std::size_t prefix = 8;
        if (bytes.size() < prefix || Packet::take<std::uint64_t>(bytes, 0) != m_id)
            return; // Sent to a target that used this address earlier.
        const auto packet = Packet::read(bytes.substr(prefix));
        if (!packet)
            return;
        const auto key = std::pair{packet->source, packet->destination};
        if (packet->has(Packet::Syn)) {
            // A delayed duplicate leaves an open flow unchanged.
            const auto [place, isNew] = m_flows.try_emplace(key);
            Flow &flow = place->second;
            if (flow.ended)
                return;
            flow.echo = packet->echo;
            if (isNew) {
                flow.received = packet->seq + 1;
                flow.sent = firstSequence() + 1;
            }
            reply(*packet, firstSequence(), Packet::Syn | Packet::Ack, flow, {});
            if (isNew)
                checkOpening(Clock::now());
            return;
        }
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            Flow none;
            none.echo = packet->echo;
            reply(*packet, packet->ack, Packet::Rst, none, {});
            return;
        }
        Flow &flow = found->second;
        flow.echo = packet->echo;
        if (packet->has(Packet::Fin) || packet->has(Packet::Rst)) {
            flow.ended = true;
            return;
        }
        if (flow.ended) {
            reply(*packet, packet->ack, Packet::Rst, flow, {});
            return;
        }
        flow.open = flow.open || packet->ack == firstSequence() + 1;
        if (!flow.open)
            ++m_log.astray[packet->source];
        else if (!packet->data.empty())
            request(*packet, flow, daemon);
    }

    /// \brief Accepts and closes TCP connections, as real targets do for health checks.
    void acceptNext()
    {
        m_connections.async_accept(
            [this](boost::system::error_code error, const boost::asio::ip::tcp::socket &) {
                if (error != boost::asio::error::operation_aborted)
                    acceptNext();
            });
    }

    void checkOpening(Clock::time_point now)
    {
        m_log.lateOpens += m_closedAt && now > *m_closedAt;
        m_log.evacuatedOpens += m_evacuatedAt && now > *m_evacuatedAt;
        if (now >= m_coldUntil)
            return;
        constexpr std::chrono::seconds span{1};
        std::erase_if(m_coldOpens, [&](Clock::time_point at) { return now - at > span; });
        m_coldOpens.push_back(now);
        m_log.coldOpens += m_coldOpens.size() > m_maxColdOpens;
    }

    void request(const Packet &packet, Flow &flow, const Endpoint &daemon)
    {
        if (packet.seq != flow.received) {
            // Retransmission: the answer was lost or isn't ready yet.
            const auto size = static_cast<std::uint32_t>(flow.answer.size());
            if (!flow.answer.empty())
                reply(packet, flow.sent - size, Packet::Ack, flow, flow.answer);
            return;
        }
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.answer.clear();
        const auto space = packet.data.find(' ');
        if (packet.data.substr(0, space) != m_service)
            ++m_log.wrongService;
        const std::string id = packet.data.substr(space + 1);
        ++m_log.runs[id];
        m_log.record.push_back({id, m_id, packet.source, daemon, std::chrono::system_clock::now()});
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_work);
        timer->async_wait([this, timer, packet, id,
                           alive = std::weak_ptr{m_alive}](boost::system::error_code error) {
            if (error || alive.expired())
                return;
            const auto found = m_flows.find({packet.source, packet.destination});
            if (found == m_flows.end())
                return;
            Flow &open = found->second;
            open.answer = id;
            reply(packet, open.sent, Packet::Ack, open, id);
            open.sent += static_cast<std::uint32_t>(id.size());
        });
    }

    void reply(const Packet &to, std::uint32_t seq, std::uint8_t flags, const Flow &flow,
               std::string data)
    {
        Packet out;
        out.seq = seq;
        out.ack = flow.received;
        out.sum = 1;
        out.echo = flow.echo;
        out.source = to.destination;
        out.destination = to.source;
        out.flags = flags;
        out.data = std::move(data);
        m_end.send({to.source.address, m_callerPort}, out.bytes());
    }

    boost::asio::io_context &m_context;
    UdpEnd m_end;
    boost::asio::ip::tcp::acceptor m_connections;
    Endpoint m_address;
    std::uint64_t m_id;
    std::string m_service;
    std::uint16_t m_callerPort;
    std::chrono::milliseconds m_work;
    TargetLog &m_log;
    std::optional<Clock::time_point> m_closedAt;
    std::optional<Clock::time_point> m_evacuatedAt;
    Clock::time_point m_coldUntil{};
    std::size_t m_maxColdOpens = 0;
    std::vector<Clock::time_point> m_coldOpens; ///< Times of flow opens within the last second.
    std::map<std::pair<Endpoint, Endpoint>, Flow> m_flows;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail::standins
