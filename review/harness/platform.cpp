#include "platform.h"

#include <algorithm>
#include <charconv>

namespace review {

namespace {

constexpr std::string_view ObjectsPath = "/baobabtrail/objects/";
constexpr auto ProbePeriod = 500ms;
constexpr int MissesToLeave = 2;

/// \return The number of a parameter in a query, or nothing.
std::optional<std::uint64_t> parameter(const std::string &query, const std::string &name)
{
    const auto found = query.find(name + '=');
    if (found == std::string::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    const char *begin = query.data() + found + name.size() + 1;
    std::from_chars(begin, query.data() + query.size(), value);
    return value;
}

} // namespace

struct Store::Connection
{
    explicit Connection(asio::io_context &context)
        : socket(context)
    {
    }
    Tcp::socket socket;
    asio::streambuf buffer;
    std::string out;
};

void Store::listen(const Address &address)
{
    accept(std::make_shared<Tcp::acceptor>(m_context, address.tcp()));
}

void Store::accept(const std::shared_ptr<Tcp::acceptor> &acceptor)
{
    const auto connection = std::make_shared<Connection>(m_context);
    acceptor->async_accept(connection->socket,
                           [this, acceptor, connection](boost::system::error_code error) {
                               if (error)
                                   return;
                               read(connection);
                               accept(acceptor);
                           });
}

void Store::read(const std::shared_ptr<Connection> &connection)
{
    asio::async_read_until(connection->socket, connection->buffer, "\r\n\r\n",
                           [this, connection](boost::system::error_code error, std::size_t) {
                               if (error)
                                   return;
                               std::istream in(&connection->buffer);
                               std::string method;
                               std::string target;
                               in >> method >> target;
                               std::string line;
                               while (std::getline(in, line) && line != "\r" && !line.empty()) {
                               }
                               handle(connection, target);
                           });
}

void Store::handle(const std::shared_ptr<Connection> &connection, const std::string &target)
{
    if (m_silent) {
        m_unanswered.push_back(connection);
        return;
    }
    if (!target.starts_with(ObjectsPath)) {
        reply(connection, 404, "{}");
        return;
    }
    const auto question = target.find('?');
    const std::string path = target.substr(0, question);
    const std::string query = question == std::string::npos ? "" : target.substr(question + 1);
    const std::string kind = path.substr(ObjectsPath.size());
    const auto watched = parameter(query, "watch");
    if (!watched) {
        list(connection, kind);
        return;
    }
    const std::chrono::milliseconds wait{parameter(query, "wait_ms").value_or(0)};
    const Watch watch{connection, kind, *watched, Clock::now() + wait};
    if (answerWatch(watch, false))
        return;
    m_watches.push_back(watch);
    after(m_context, wait,
          [this, connection, until = watch.until] { expireWatch(connection, until); });
}

json::object Store::objectOf(const std::string &name, std::uint64_t revision,
                             const json::object &spec)
{
    return {{"meta",
             {{"name", name},
              {"revision", revision},
              {"created", revision},
              {"finalizers", json::array{}},
              {"deleting", false}}},
            {"spec", spec},
            {"status", nullptr}};
}

void Store::list(const std::shared_ptr<Connection> &connection, const std::string &kind)
{
    json::array items;
    for (const auto &[name, object] : m_objects[kind])
        items.push_back(objectOf(name, object.revision, object.spec));
    reply(connection, 200,
          json::serialize(json::object{{"items", items}, {"has_more", false}, {"at", m_revision}}));
}

bool Store::answerWatch(const Watch &watch, bool evenWithoutEvents)
{
    json::array events;
    for (const Event &event : m_history) {
        if (event.kind == watch.kind && event.revision > watch.after)
            events.push_back(
                json::object{{"deleted", event.deleted},
                             {"object", objectOf(event.name, event.revision, event.spec)}});
    }
    if (events.empty() && !evenWithoutEvents)
        return false;
    reply(watch.connection, 200,
          json::serialize(json::object{{"events", events}, {"at", m_revision}}));
    return true;
}

void Store::notifyWatches()
{
    std::erase_if(m_watches, [this](const Watch &watch) { return answerWatch(watch, false); });
}

void Store::expireWatch(const std::shared_ptr<Connection> &connection, Time until)
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        const bool due = watch.connection == connection && watch.until == until;
        return due && answerWatch(watch, true);
    });
}

void Store::reply(const std::shared_ptr<Connection> &connection, int status,
                  const std::string &body)
{
    const char *reason = status == 200 ? "OK" : "Not Found";
    connection->out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason
                      + "\r\nContent-Type: application/json\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(connection->socket, asio::buffer(connection->out),
                      [this, connection](boost::system::error_code error, std::size_t) {
                          if (!error)
                              read(connection);
                      });
}

void Store::setSilent(bool silent)
{
    m_silent = silent;
    for (const Watch &watch : m_watches)
        m_unanswered.push_back(watch.connection);
    m_watches.clear();
}

Time Store::put(const std::string &kind, const std::string &name, json::object spec)
{
    m_objects[kind][name] = {++m_revision, spec};
    m_history.push_back({m_revision, kind, name, false, std::move(spec)});
    notifyWatches();
    return Clock::now();
}

Time Store::remove(const std::string &kind, const std::string &name)
{
    m_objects[kind].erase(name);
    m_history.push_back({++m_revision, kind, name, true, {}});
    notifyWatches();
    return Clock::now();
}

void Router::add(const std::string &name, const Address &packets, const Address &readiness)
{
    m_daemons.push_back({name, packets, readiness, MissesToLeave});
}

void Router::start()
{
    probeAll();
}

const Address &Router::daemonOf(const Address &consumer, const Address &route) const
{
    const auto isIn = [](const Daemon &daemon) { return daemon.misses < MissesToLeave; };
    const auto in = std::count_if(m_daemons.begin(), m_daemons.end(), isIn);
    // Below half of them the platform uses all.
    const bool all = 2 * static_cast<std::size_t>(in) < m_daemons.size();
    const Daemon *best = nullptr;
    std::size_t highest = 0;
    for (const Daemon &daemon : m_daemons) {
        if (!all && !isIn(daemon))
            continue;
        const std::size_t rank
            = std::hash<std::string>{}(consumer.text() + route.text() + daemon.packets.text());
        if (!best || rank > highest) {
            best = &daemon;
            highest = rank;
        }
    }
    return best->packets;
}

const std::string &Router::nameOf(const Address &packets) const
{
    static const std::string unknown = "?";
    for (const Daemon &daemon : m_daemons) {
        if (daemon.packets == packets)
            return daemon.name;
    }
    return unknown;
}

bool Router::inRotation(const std::string &name) const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(), [&](const Daemon &daemon) {
        return daemon.name == name && daemon.misses < MissesToLeave;
    });
}

void Router::probeAll()
{
    for (Daemon &daemon : m_daemons) {
        const auto socket = std::make_shared<Tcp::socket>(m_context);
        const auto buffer = std::make_shared<std::string>();
        const auto done = std::make_shared<bool>(false);
        const auto end = [this, &daemon, socket, buffer, done](bool ready) {
            if (std::exchange(*done, true))
                return;
            boost::system::error_code ignored;
            socket->close(ignored);
            probed(daemon, ready);
        };
        after(m_context, ProbePeriod - 20ms, [end] { end(false); });
        socket->async_connect(daemon.readiness.tcp(), [socket, buffer,
                                                       end](boost::system::error_code error) {
            if (error)
                return end(false);
            static const std::string request
                = "GET /baobabtrail/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            asio::async_write(*socket, asio::buffer(request),
                              [socket, buffer, end](boost::system::error_code failed, std::size_t) {
                                  if (failed)
                                      return end(false);
                                  asio::async_read_until(
                                      *socket, asio::dynamic_buffer(*buffer), "\r\n",
                                      [buffer, end](boost::system::error_code cut, std::size_t) {
                                          end(!cut && buffer->starts_with("HTTP/1.1 200"));
                                      });
                              });
        });
    }
    after(m_context, ProbePeriod, [this] { probeAll(); });
}

void Router::probed(Daemon &daemon, bool ready)
{
    const bool before = daemon.misses < MissesToLeave;
    daemon.misses = ready ? 0 : daemon.misses + 1;
    const bool now = daemon.misses < MissesToLeave;
    if (before != now)
        m_record.line(daemon.name + (now ? " joins" : " leaves") + " the rotation");
}

} // namespace review
