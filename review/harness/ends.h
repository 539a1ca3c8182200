#pragma once

/// \file
/// \brief Stand-ins for the two ends of a flow: consumers and servers, as PROTOCOL.md has them.

#include "platform.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// \brief A packet of a flow that reached a server.
struct Arrival
{
    Time at;
    std::string server;
    std::string daemon; ///< The daemon that sent it on.
    bool held = false;  ///< Whether the server holds the flow.
};

/// \brief A request that a server ran.
struct Run
{
    std::string request;
    std::string server;
    std::string route;
    std::string openedVia; ///< The daemon that sent on the flow's opening packet.
    Time openedAt;         ///< When the opening packet arrived.
    Time at;
};

/// \brief What all servers of a run have seen.
struct ServerLog
{
    std::vector<Run> runs;
    std::map<Address, std::vector<Arrival>> arrivals; ///< By the consumer's end of the flow.
};

/// \brief A server. A request is "ID"; its answer is "ID" as well, sent after the work time.
class Server
{
public:
    struct Identity
    {
        std::uint64_t id = 0;
        Address address;
        std::string service;
        std::string zone;
    };

    Server(asio::io_context &context, Identity identity, std::uint16_t consumerPort,
           const Router &router, ServerLog &log, Record &record);

    [[nodiscard]] std::string name() const;
    [[nodiscard]] json::object entry(const std::string &state) const;
    /// \brief Closes each flow after its next response from now on.
    void drain() { m_draining = true; }

private:
    struct Flow
    {
        bool open = false;
        bool ended = false;
        std::uint32_t first = 0;    ///< Sequence number of the SYN+ACK.
        std::uint32_t received = 0; ///< Sequence number of the next byte expected.
        std::uint32_t sent = 0;     ///< Sequence number of the next byte to send.
        std::uint32_t echo = 0;
        std::string answer; ///< Not acknowledged yet.
        int resends = 0;
        std::string openedVia;
        Time openedAt;
    };
    using Key = std::pair<Address, Address>;

    void receive(std::string_view bytes, const Address &daemon);
    void opening(const Packet &packet, const std::string &daemon);
    void data(const Packet &packet, const Key &key, Flow &flow);
    void respond(const Key &key, const std::string &request);
    void sendAnswer(const Key &key);
    void send(const Key &key, const Flow &flow, std::uint32_t seq, std::uint8_t flags,
              const std::string &bytes);
    void acceptNext();

    asio::io_context &m_context;
    Identity m_identity;
    std::uint16_t m_consumerPort;
    const Router &m_router;
    ServerLog &m_log;
    Record &m_record;
    Datagrams m_datagrams;
    Tcp::acceptor m_health;
    std::mt19937 m_random;
    bool m_draining = false;
    std::map<Key, Flow> m_flows;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// \brief A request of a consumer.
struct Request
{
    std::string id;
    std::string route;
    Address end; ///< The consumer's end of its flow.
    Time sentAt;
    std::optional<Time> answeredAt;
    bool wrongAnswer = false;
};

/// \brief A flow that a consumer opened.
struct OpenedFlow
{
    Address end;
    std::string route;
    Time synAt;
    std::string synVia;                  ///< The daemon that got the first SYN.
    std::optional<Time> openedAt;        ///< When the SYN+ACK arrived.
    std::string server;                  ///< The server that accepted it.
    std::optional<Time> resetAt;         ///< When a reset arrived.
    std::string resetBy;                 ///< The name of a server or a daemon.
    std::vector<std::string> requestIds; ///< In order.
};

/// \brief A consumer with an address of its own.
class Consumer
{
public:
    static constexpr auto TimeBudget = 2500ms;

    Consumer(asio::io_context &context, const Address &address, const Router &router,
             std::function<std::string(const Address &)> serverAt, Record &record);

    /// \brief Opens a flow and sends a request on it.
    /// \param closes Whether the flow is closed after the answer.
    /// \return The flow's port.
    std::uint16_t ask(const std::string &routeName, const Address &route, bool closes);
    /// \brief Sends a further request on an open flow; does nothing where it has ended.
    void askAgain(std::uint16_t port);

    [[nodiscard]] const std::vector<Request> &requests() const { return m_requests; }
    [[nodiscard]] const std::map<std::uint16_t, OpenedFlow> &flows() const { return m_seen; }

private:
    struct Flow
    {
        Address route;
        bool closes = false;
        bool open = false;
        std::uint32_t seq = 0;
        std::uint32_t ack = 0;
        std::uint32_t echo = 0;
        std::size_t request = 0;
        bool waiting = false; ///< For an answer.
        int tries = 0;
        std::uint64_t turn = 0; ///< Invalidates older timers.
    };

    void newRequest(std::uint16_t port, Flow &flow);
    void sendSyn(std::uint16_t port);
    void sendRequest(std::uint16_t port);
    void receive(std::string_view bytes, const Address &sender);
    void answered(std::uint16_t port, Flow &flow, const Packet &packet);
    void reset(std::uint16_t port, const Flow &flow, const Packet &packet, const Address &sender);
    void send(std::uint16_t port, const Flow &flow, std::uint32_t seq, std::uint32_t ack,
              std::uint8_t flags, const std::string &data);
    void later(std::uint16_t port, Clock::duration wait, std::function<void()> step);
    [[nodiscard]] Address endOf(std::uint16_t port) const { return {m_address.ip, port}; }

    asio::io_context &m_context;
    Address m_address;
    const Router &m_router;
    std::function<std::string(const Address &)> m_serverAt;
    Record &m_record;
    Datagrams m_datagrams;
    std::mt19937 m_random;
    std::uint16_t m_lastPort = 20000;
    std::map<std::uint16_t, Flow> m_flows;
    std::map<std::uint16_t, OpenedFlow> m_seen;
    std::vector<Request> m_requests;
};

} // namespace review
