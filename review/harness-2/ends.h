#pragma once

/// \file
/// \brief Clients, servers, routers and store links of a small deployment on loopback addresses.

#include "direct/packet.h"
#include "direct/udp_end.h"
#include "platform/platform_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace standins = baobabtrail::standins;
using baobabtrail::Endpoint;
using standins::Packet;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// \brief Writes record.txt; times are seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
    {
    }

    template <typename... Parts>
    void line(const Parts &...parts)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        m_out << time;
        (m_out << ... << parts) << std::endl;
    }
    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - m_start).count();
    }

private:
    std::ofstream m_out;
    Clock::time_point m_start = Clock::now();
};

inline void after(asio::io_context &context, Clock::duration wait, std::function<void()> step)
{
    auto timer = std::make_shared<asio::steady_timer>(context, wait);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

/// \brief The link between one daemon and the store. A partition holds the bytes of both
/// directions back, as TCP does, and they arrive when it heals.
class StoreLink
{
public:
    StoreLink(asio::io_context &context, const tcp::endpoint &local, const tcp::endpoint &store)
        : m_context(context)
        , m_acceptor(context, local)
        , m_store(store)
    {
        accept();
    }

    /// \brief Partitions the link when the store sends the next answer that \a starts selects.
    void partitionAt(std::function<bool(std::string_view)> starts, Clock::duration length,
                     std::function<void(const std::string &)> tell)
    {
        m_starts = std::move(starts);
        m_length = length;
        m_tell = std::move(tell);
    }

private:
    struct Way
    {
        std::array<char, 65536> buffer{};
        std::deque<std::string> held;
        bool writing = false;
    };
    struct Link : std::enable_shared_from_this<Link>
    {
        Link(asio::io_context &context, tcp::socket from)
            : daemon(std::move(from))
            , store(context)
        {
        }
        tcp::socket daemon;
        tcp::socket store;
        Way asked;
        Way answered;

        void close()
        {
            boost::system::error_code ignored;
            daemon.close(ignored);
            store.close(ignored);
        }
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            const auto link = std::make_shared<Link>(m_context, std::move(socket));
            m_links.remove_if([](const auto &each) { return each.expired(); });
            m_links.push_back(link);
            link->store.async_connect(m_store, [this, link](boost::system::error_code failed) {
                if (failed) {
                    link->close();
                    return;
                }
                read(link, link->daemon, link->store, link->asked, false);
                read(link, link->store, link->daemon, link->answered, true);
            });
            accept();
        });
    }

    void read(const std::shared_ptr<Link> &link, tcp::socket &from, tcp::socket &to, Way &way,
              bool answers)
    {
        from.async_read_some(asio::buffer(way.buffer),
                             [this, link, &from, &to, &way,
                              answers](boost::system::error_code error, std::size_t size) {
                                 if (error) {
                                     link->close();
                                     return;
                                 }
                                 const std::string_view bytes{way.buffer.data(), size};
                                 if (answers && m_starts && m_starts(bytes))
                                     startPartition(bytes);
                                 way.held.emplace_back(bytes);
                                 write(link, to, way);
                                 read(link, from, to, way, answers);
                             });
    }

    void write(const std::shared_ptr<Link> &link, tcp::socket &to, Way &way)
    {
        if (m_partitioned || way.writing || way.held.empty())
            return;
        way.writing = true;
        const auto bytes = std::make_shared<std::string>(std::move(way.held.front()));
        way.held.pop_front();
        asio::async_write(
            to, asio::buffer(*bytes),
            [this, link, &to, &way, bytes](boost::system::error_code error, std::size_t) {
                way.writing = false;
                if (error)
                    link->close();
                else
                    write(link, to, way);
            });
    }

    void startPartition(std::string_view bytes)
    {
        m_starts = nullptr;
        m_partitioned = true;
        m_tell("partition begins; the first bytes that it holds back: "
               + std::string{bytes.substr(0, 12)} + "..., " + std::to_string(bytes.size())
               + " bytes");
        after(m_context, m_length, [this] {
            m_partitioned = false;
            m_tell("partition ends");
            for (const auto &each : m_links) {
                if (const auto link = each.lock()) {
                    write(link, link->store, link->asked);
                    write(link, link->daemon, link->answered);
                }
            }
        });
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_store;
    std::list<std::weak_ptr<Link>> m_links;
    bool m_partitioned = false;
    std::function<bool(std::string_view)> m_starts;
    Clock::duration m_length{};
    std::function<void(const std::string &)> m_tell;
};

/// \brief A server that runs requests "ID MILLISECONDS" in two slots, behind a queue of eight, and
/// answers its clients directly. It acknowledges a request of one packet with the answer, or when
/// the packet comes again.
class Server
{
public:
    Server(asio::io_context &context, const Endpoint &address, std::uint64_t id,
           std::string service, std::string zone, std::uint16_t clientPort, Record &record)
        : m_context(context)
        , m_end(context, address,
                [this](std::string_view bytes, const Endpoint &) { receive(bytes); })
        , m_health(context, {asio::ip::address_v4{address.address}, address.port})
        , m_address(address)
        , m_id(id)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_clientPort(clientPort)
        , m_record(record)
    {
        acceptHealth();
    }

    [[nodiscard]] std::string name() const
    {
        char text[16];
        std::snprintf(text, sizeof text, "i-%08llx", static_cast<unsigned long long>(m_id));
        return text;
    }
    [[nodiscard]] boost::json::object entry() const
    {
        return {{"meta", {{"name", name()}}},
                {"spec",
                 {{"service", m_service},
                  {"address", toString(m_address)},
                  {"zone", m_zone},
                  {"version", "v1"},
                  {"slots", 2},
                  {"state", m_draining ? "draining" : "ready"},
                  {"warmup_left_ms", 0},
                  {"seq", 1}}}};
    }
    /// \return Whether the flow is open here.
    [[nodiscard]] bool hasOpen(const Endpoint &client, const Endpoint &route) const
    {
        const auto found = m_flows.find({client, route});
        return found != m_flows.end() && found->second.open && !found->second.ended;
    }
    /// \brief Its entry says draining from now on. It still accepts flows, as the pages allow.
    void drain() { m_draining = true; }
    /// \brief Counts flows that open with a SYN that arrives later as late.
    void closeAt(Clock::time_point time) { m_closedAt = time; }
    std::size_t runs = 0;
    std::size_t lateFlows = 0;
    std::size_t lateRuns = 0; ///< Requests on these flows.

private:
    struct Flow
    {
        bool open = false;
        bool ended = false;
        bool late = false; ///< Opened by a SYN that came after the bound of draining.
        std::uint32_t first = 0;
        std::uint32_t echo = 0;
        std::uint32_t received = 0;
        std::uint32_t sent = 0;
        std::uint32_t acknowledged = 0;
        std::string answer;
        int tries = 0;
    };
    using Key = std::pair<Endpoint, Endpoint>;

    void acceptHealth()
    {
        m_health.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            auto peer = std::make_shared<tcp::socket>(std::move(socket));
            auto buffer = std::make_shared<std::array<char, 1024>>();
            peer->async_read_some(asio::buffer(*buffer), [peer,
                                                          buffer](boost::system::error_code failed,
                                                                  std::size_t) {
                if (failed)
                    return;
                auto text
                    = std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                asio::async_write(*peer, asio::buffer(*text),
                                  [peer, text](boost::system::error_code, std::size_t) {});
            });
            acceptHealth();
        });
    }

    void receive(std::string_view bytes)
    {
        if (bytes.size() < 8 || Packet::take<std::uint64_t>(bytes, 0) != m_id)
            return;
        const auto packet = Packet::read(bytes.substr(8));
        if (!packet || ++m_datagrams % LostOneIn == 0)
            return;
        const Key key{packet->source, packet->destination};
        if (packet->has(Packet::Syn)) {
            const auto [place, isNew] = m_flows.try_emplace(key);
            Flow &flow = place->second;
            if (isNew) {
                flow.first = static_cast<std::uint32_t>(m_id * 2654435761U + ++m_flowsSeen * 7919U);
                flow.sent = flow.first + 1;
                flow.acknowledged = flow.sent;
                flow.received = packet->seq + 1;
                flow.late = m_closedAt && Clock::now() > *m_closedAt;
            }
            if (flow.ended || flow.open)
                return;
            flow.echo = packet->echo;
            send(key, flow, flow.first, Packet::Syn | Packet::Ack, {});
            return;
        }
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            Flow none;
            none.echo = packet->echo;
            send(key, none, packet->ack, Packet::Rst, {});
            return;
        }
        Flow &flow = found->second;
        flow.echo = packet->echo;
        if (packet->has(Packet::Rst)) {
            flow.ended = true;
            return;
        }
        if (flow.ended) {
            if (!packet->data.empty())
                send(key, flow, packet->ack, Packet::Rst, {});
            return;
        }
        if (!flow.open && packet->ack == flow.first + 1) {
            flow.open = true;
            lateFlows += flow.late;
        }
        if (!flow.open)
            return;
        if (static_cast<std::int32_t>(packet->ack - flow.acknowledged) > 0)
            flow.acknowledged = packet->ack;
        if (!packet->data.empty())
            request(key, flow, *packet);
        if (packet->has(Packet::Fin))
            flow.ended = true;
    }

    void request(const Key &key, Flow &flow, const Packet &packet)
    {
        if (packet.seq != flow.received) {
            send(key, flow, flow.sent, Packet::Ack, {}); // It came again.
            return;
        }
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        const auto space = packet.data.find(' ');
        const std::string id = packet.data.substr(0, space);
        if (flow.late) {
            ++lateRuns;
            m_record.line("late request ", id, " reached the draining server ", name());
        }
        const auto work = std::chrono::milliseconds{std::stoi(packet.data.substr(space + 1))};
        m_queue.push_back({key, id, work});
        startNext();
    }

    void startNext()
    {
        while (m_running < 2 && !m_queue.empty()) {
            const Job job = m_queue.front();
            m_queue.pop_front();
            ++m_running;
            ++runs;
            m_record.line("run ", job.id, " at ", name());
            after(m_context, job.work, [this, job] {
                --m_running;
                answer(job);
                startNext();
            });
        }
    }

    struct Job
    {
        Key key;
        std::string id;
        std::chrono::milliseconds work;
    };

    void answer(const Job &job)
    {
        const auto found = m_flows.find(job.key);
        if (found == m_flows.end() || found->second.ended)
            return;
        Flow &flow = found->second;
        flow.answer = job.id;
        flow.tries = 0;
        const std::uint32_t seq = flow.sent;
        flow.sent += static_cast<std::uint32_t>(flow.answer.size());
        sendAnswer(job.key, seq, job.id);
    }

    void sendAnswer(const Key &key, std::uint32_t seq, const std::string &text)
    {
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || found->second.ended)
            return;
        Flow &flow = found->second;
        const std::uint32_t end = seq + static_cast<std::uint32_t>(text.size());
        if (static_cast<std::int32_t>(flow.acknowledged - end) >= 0 || flow.tries > 8)
            return;
        send(key, flow, seq, Packet::Ack, text);
        const auto wait
            = std::min<std::chrono::milliseconds>(200ms * (1 << std::min(flow.tries, 3)), 1600ms);
        ++flow.tries;
        after(m_context, wait, [this, key, seq, text] { sendAnswer(key, seq, text); });
    }

    void send(const Key &key, const Flow &flow, std::uint32_t seq, std::uint8_t flags,
              const std::string &data)
    {
        Packet out;
        out.seq = seq;
        out.ack = flow.received;
        out.sum = 1;
        out.echo = flow.echo;
        out.source = key.second;
        out.destination = key.first;
        out.flags = flags;
        out.data = data;
        m_end.send({key.first.address, m_clientPort}, out.bytes());
    }

    /// Datagrams are lost occasionally, with and without trouble.
    static constexpr std::uint64_t LostOneIn = 150;

    asio::io_context &m_context;
    std::uint64_t m_datagrams = 0;
    standins::UdpEnd m_end;
    tcp::acceptor m_health;
    Endpoint m_address;
    std::uint64_t m_id;
    std::string m_service;
    std::string m_zone;
    std::uint16_t m_clientPort;
    Record &m_record;
    bool m_draining = false;
    std::optional<Clock::time_point> m_closedAt;
    std::map<Key, Flow> m_flows;
    std::uint32_t m_flowsSeen = 0;
    std::deque<Job> m_queue;
    int m_running = 0;
};

} // namespace review
