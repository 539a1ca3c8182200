#pragma once

/// \file
/// \brief Stand-ins for the platform: its metadata store and its routers.

#include "net.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// \brief The platform's store: lists and watches, with the writes of operators and servers done in
/// this process.
class Store
{
public:
    explicit Store(asio::io_context &context)
        : m_context(context)
    {
    }

    void listen(const Address &address);
    /// \brief The store is down and silent from now on, or serves again. Calls that came in
    /// meanwhile, and watches that waited, are never answered.
    void setSilent(bool silent);

    /// \brief Creates or replaces an object. \return The time of the ack.
    Time put(const std::string &kind, const std::string &name, json::object spec);
    /// \brief Removes an object. \return The time of the ack.
    Time remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        json::object spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool deleted = false;
        json::object spec;
    };
    struct Connection;
    struct Watch
    {
        std::shared_ptr<Connection> connection;
        std::string kind;
        std::uint64_t after = 0;
        Time until;
    };

    void accept(const std::shared_ptr<Tcp::acceptor> &acceptor);
    void read(const std::shared_ptr<Connection> &connection);
    void handle(const std::shared_ptr<Connection> &connection, const std::string &target);
    void list(const std::shared_ptr<Connection> &connection, const std::string &kind);
    bool answerWatch(const Watch &watch, bool evenWithoutEvents);
    void notifyWatches();
    void expireWatch(const std::shared_ptr<Connection> &connection, Time until);
    void reply(const std::shared_ptr<Connection> &connection, int status, const std::string &body);
    [[nodiscard]] static json::object objectOf(const std::string &name, std::uint64_t revision,
                                               const json::object &spec);

    asio::io_context &m_context;
    std::map<std::string, std::map<std::string, Object>> m_objects; ///< By kind and name.
    std::vector<Event> m_history;
    std::uint64_t m_revision = 1;
    bool m_silent = false;
    /// Kept open: a call that is never answered is no closed connection.
    std::vector<std::shared_ptr<Connection>> m_unanswered;
    std::list<Watch> m_watches;
};

/// \brief The platform's routers: a hash of the flow over the daemons in rotation, which a daemon
/// leaves after two missed readiness probes in a row and joins with the next 200.
class Router
{
public:
    Router(asio::io_context &context, Record &record)
        : m_context(context)
        , m_record(record)
    {
    }

    void add(const std::string &name, const Address &packets, const Address &readiness);
    void start();
    /// \return The daemon that gets a packet of the flow now.
    [[nodiscard]] const Address &daemonOf(const Address &consumer, const Address &route) const;
    [[nodiscard]] const std::string &nameOf(const Address &packets) const;
    [[nodiscard]] bool inRotation(const std::string &name) const;

private:
    struct Daemon
    {
        std::string name;
        Address packets;
        Address readiness;
        int misses = 2;
    };

    void probeAll();
    void probed(Daemon &daemon, bool ready);

    asio::io_context &m_context;
    Record &m_record;
    std::list<Daemon> m_daemons;
};

} // namespace review
