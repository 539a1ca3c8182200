#pragma once

/// \file
/// \brief A deployment like the site amper-swap: 8 daemons in 3 zones, 14 servers of one service
/// and 4 of another, the platform's store and the platform's routers.

#include "client.h"

#include <boost/asio/signal_set.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace http = boost::beast::http;

struct Zone
{
    const char *name;
    int daemons;
    int lending;
    int catalogue;
};
inline constexpr std::array<Zone, 3> Zones{Zone{"alx-raml", 3, 5, 2}, Zone{"alx-smouha", 3, 5, 1},
                                           Zone{"alx-agami", 2, 4, 1}};

class Deployment
{
public:
    /// \param grace The bound grace_s as the platform writes it into the template.
    Deployment(asio::io_context &context, Record &record, std::string grace = "6")
        : m_context(context)
        , m_record(record)
        , m_grace(std::move(grace))
        , m_service(context, 1, {})
        , m_http(context, 0,
                 [this](const standins::HttpRequest &request, const standins::HttpReply &reply) {
                     m_service.handle(request,
                                      [this, reply](std::optional<standins::HttpResponse> answer) {
                                          if (answer)
                                              replaceMark(answer->body());
                                          reply(std::move(answer));
                                      });
                 })
        , m_packetPort(freePort(SOCK_DGRAM))
        , m_readyPort(freePort(SOCK_STREAM))
        , m_metricsPort(freePort(SOCK_STREAM))
        , m_peerPort(freePort(SOCK_STREAM))
        , m_usagePort(freePort(SOCK_DGRAM))
        , m_serverPort(freePort(SOCK_DGRAM))
        , m_storePort(freePort(SOCK_STREAM))
        , m_directory(makeDirectory())
    {
        call(http::verb::post, "/baobabtrail/objects/config", configuration());
        for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
            for (int index = 0; index < Zones[zone].daemons; ++index)
                addDaemon(zone, index);
        }
        for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
            for (int index = 0; index < Zones[zone].lending; ++index)
                addServer("lending", zone);
            for (int index = 0; index < Zones[zone].catalogue; ++index)
                addServer("catalogue", zone);
        }
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            start(index, true);
        probeLater();
        m_ends.async_wait([this](boost::system::error_code error, int) {
            if (error)
                return;
            endDaemons();
            std::_Exit(2);
        });
    }

    ~Deployment()
    {
        endDaemons();
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_directory, ignored);
    }

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    [[nodiscard]] Endpoint route() const { return {0x7F640001U, 443}; }
    [[nodiscard]] std::uint16_t packetPort() const { return m_packetPort; }
    [[nodiscard]] std::vector<std::unique_ptr<Server>> &servers() { return m_servers; }
    [[nodiscard]] const std::string &directory() const { return m_directory; }
    [[nodiscard]] StoreLink &linkOf(std::size_t daemon) { return *m_daemons[daemon].link; }
    [[nodiscard]] std::string nameOf(std::size_t daemon) const { return m_daemons[daemon].name; }
    [[nodiscard]] bool allReady() const
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(),
                           [](const Daemon &daemon) { return daemon.misses < 2; });
    }

    /// \brief The router's choice: rendezvous hashing over the zone's daemons in rotation; all of
    /// them where fewer than half are.
    [[nodiscard]] std::optional<Endpoint> choose(std::size_t zone, const Endpoint &client) const
    {
        std::vector<const Daemon *> rotation;
        for (const Daemon &daemon : m_daemons) {
            if (daemon.zone == zone && daemon.misses < 2)
                rotation.push_back(&daemon);
        }
        if (rotation.size() * 2 < static_cast<std::size_t>(Zones[zone].daemons)) {
            rotation.clear();
            for (const Daemon &daemon : m_daemons) {
                if (daemon.zone == zone)
                    rotation.push_back(&daemon);
            }
        }
        const Daemon *best = nullptr;
        std::size_t highest = 0;
        for (const Daemon *daemon : rotation) {
            const std::size_t rank
                = std::hash<std::string>{}(toString(client) + '@' + daemon->name);
            if (!best || rank > highest) {
                best = daemon;
                highest = rank;
            }
        }
        return best ? std::optional{Endpoint{best->address, m_packetPort}} : std::nullopt;
    }

    /// \brief SIGTERM, SIGKILL after grace_s, and a new start.
    void restart(std::size_t index)
    {
        Daemon &daemon = m_daemons[index];
        m_record.line("SIGTERM to ", daemon.name);
        ::kill(daemon.process, SIGTERM);
        waitForEnd(index, Clock::now() + 6s);
    }

    /// \brief Starts the daemons that have ended by themselves again, as the platform does.
    /// \return How many had ended.
    std::size_t restartEnded()
    {
        std::size_t ended = 0;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            Daemon &daemon = m_daemons[index];
            int status = 0;
            if (daemon.process <= 0
                || ::waitpid(daemon.process, &status, WNOHANG) != daemon.process)
                continue;
            ++ended;
            m_record.line("end of ", daemon.name, " by itself, exit code ",
                          WIFEXITED(status) ? WEXITSTATUS(status) : -1);
            start(index, true);
        }
        return ended;
    }

    // The store.

    /// \brief The store answers nobody. Entries whose servers are silent for three intervals
    /// expire meanwhile.
    void storeDown()
    {
        m_record.line("the store is down (silent)");
        m_down = true;
        call(http::verb::put, "/control/switches", boost::json::object{{"silent", true}});
    }
    void storeUp()
    {
        call(http::verb::put, "/control/switches", boost::json::object{{"silent", false}});
        m_down = false;
        for (const auto &[server, at] : m_beats) {
            if (Clock::now() - at <= 3 * BeatInterval)
                continue;
            call(http::verb::delete_, "/baobabtrail/objects/servers/" + server->name(), nullptr);
        }
        m_record.line("the store is back; entries of servers that it had not heard for ",
                      "three intervals are gone");
    }
    /// \brief Another writer creates an entry. HalfCharacter in it stands for the escape of half a
    /// character, which the library of this stand-in does not store.
    void writeEntry(const boost::json::value &entry)
    {
        call(http::verb::post, "/baobabtrail/objects/servers", entry);
    }
    void removeEntry(const std::string &name)
    {
        call(http::verb::delete_, "/baobabtrail/objects/servers/" + name, nullptr);
    }
    static constexpr std::string_view HalfCharacter = "HALF-CHARACTER";
    /// \brief Stands for arrays in arrays, DeepBy deep, in the place of a text.
    static constexpr std::string_view DeepArray = "DEEP-ARRAY";
    static constexpr std::size_t DeepBy = 600;
    /// \brief The server reports draining; the store accepts it now.
    void drain(Server &server)
    {
        server.drain();
        call(http::verb::put, "/baobabtrail/objects/servers/" + server.name(), server.entry());
        m_record.line("the store accepted draining of ", server.name());
    }
    /// \brief All daemons are killed, and start again half a second later.
    void killAll()
    {
        m_record.line("SIGKILL to all daemons");
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            ::kill(m_daemons[index].process, SIGKILL);
            ::waitpid(m_daemons[index].process, nullptr, 0);
            m_daemons[index].process = 0;
            after(m_context, 500ms, [this, index] { start(index, false); });
        }
    }
    void beatFrom(Server &server, Clock::duration phase)
    {
        after(m_context, phase, [this, &server] { beat(server); });
    }

    /// \brief The first daemon of each zone; they watch the store.
    static constexpr std::array<std::size_t, 3> Roots{0, 3, 6};
    [[nodiscard]] std::vector<std::size_t> othersInZoneOf(std::size_t daemon) const
    {
        std::vector<std::size_t> out;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (index != daemon && m_daemons[index].zone == m_daemons[daemon].zone)
                out.push_back(index);
        }
        return out;
    }

    static constexpr auto BeatInterval = 1200ms;

private:
    struct Daemon
    {
        std::size_t zone = 0;
        std::string name;
        std::uint32_t address = 0;
        std::unique_ptr<StoreLink> link;
        pid_t process = 0;
        int misses = 2;
        int probe = 0;
    };

    [[nodiscard]] static std::uint16_t freePort(int type)
    {
        // Free on all loopback addresses at this moment.
        const int socket = ::socket(AF_INET, type, 0);
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof any;
        ::bind(socket, reinterpret_cast<sockaddr *>(&any), sizeof any);
        ::getsockname(socket, reinterpret_cast<sockaddr *>(&any), &size);
        ::close(socket);
        return ntohs(any.sin_port);
    }

    [[nodiscard]] static std::string makeDirectory()
    {
        std::string path = std::filesystem::temp_directory_path() / "review-XXXXXX";
        if (!::mkdtemp(path.data()))
            throw std::runtime_error("no temporary folder");
        return path;
    }

    void endDaemons()
    {
        for (Daemon &daemon : m_daemons) {
            if (daemon.process <= 0)
                continue;
            ::kill(daemon.process, SIGKILL);
            ::waitpid(daemon.process, nullptr, 0);
        }
    }

    void addDaemon(std::size_t zone, int index)
    {
        Daemon daemon;
        daemon.zone = zone;
        daemon.name = std::string{"edge-"} + Zones[zone].name + '-' + std::to_string(index + 1);
        daemon.address = 0x7F00000AU + static_cast<std::uint32_t>(m_daemons.size());
        daemon.link = std::make_unique<StoreLink>(
            m_context,
            tcp::endpoint{
                asio::ip::address_v4{0x7F000032U + static_cast<std::uint32_t>(m_daemons.size())},
                m_storePort},
            tcp::endpoint{asio::ip::address_v4::loopback(), m_http.port()});
        m_daemons.push_back(std::move(daemon));
    }

    void addServer(const char *service, std::size_t zone)
    {
        const auto index = static_cast<std::uint32_t>(m_servers.size());
        m_servers.push_back(std::make_unique<Server>(
            m_context, Endpoint{0x7F000300U + index, m_serverPort}, 0x7f3a0000U + 977 * (index + 1),
            service, Zones[zone].name, m_packetPort, m_record));
        Server &server = *m_servers.back();
        beat(server, false);
        beatFrom(server, BeatInterval * (index * 5 % 18) / 18 + 30ms);
    }

    // A beat that says nothing new gives no event; a server whose entry is gone creates it again.
    void beat(Server &server, bool again = true)
    {
        if (!m_down) {
            m_beats[&server] = Clock::now();
            call(http::verb::post, "/baobabtrail/objects/servers", server.entry());
        }
        if (again)
            beatFrom(server, BeatInterval);
    }

    /// \brief Puts what this stand-in's library does not store in the place of its marks.
    static void replaceMark(std::string &body)
    {
        const std::string deep = '"' + std::string{DeepArray} + '"';
        const std::string nested = std::string(DeepBy, '[') + std::string(DeepBy, ']');
        replaceAll(body, HalfCharacter, "\\ud83d");
        replaceAll(body, deep, nested);
    }

    static void replaceAll(std::string &body, std::string_view mark, std::string_view text)
    {
        for (auto at = body.find(mark); at != body.npos; at = body.find(mark, at))
            body.replace(at, mark.size(), text);
    }

    void call(http::verb verb, const std::string &path, const boost::json::value &body)
    {
        standins::HttpRequest request{verb, path, 11};
        if (!body.is_null())
            request.body() = boost::json::serialize(body);
        m_service.handle(request, [](const std::optional<standins::HttpResponse> &) {});
    }

    [[nodiscard]] boost::json::value configuration() const
    {
        const auto route = [](const char *name, const char *port, const char *kind, int timeout,
                              int latency, int priority, const char *service) {
            return boost::json::object{{"name", name},
                                       {"host", "127.100.0.1"},
                                       {"path_prefix", std::string{"/"} + port + "/"},
                                       {"kind", kind},
                                       {"timeout_ms", timeout},
                                       {"target_latency_ms", latency},
                                       {"priority", priority},
                                       {"service", service},
                                       {"max_attempts", 2}};
        };
        const auto service = [](const char *name) {
            return boost::json::object{{"name", name},
                                       {"health_path", "/health"},
                                       {"max_conns", 2000},
                                       {"protocol", "h1"},
                                       {"tls", false}};
        };
        return boost::json::object{
            {"meta", {{"name", "main"}}},
            {"spec",
             {{"version", 7},
              {"routes",
               {route("hold-feed", "443", "idempotent", 2000, 120, 2, "lending"),
                route("photo-upload", "8443", "upload", 8000, 500, 2, "catalogue")}},
              {"services", {service("lending"), service("catalogue")}},
              {"limits", {{"idle_timeout_ms", 15000}}}}}};
    }

    // The template deploy/settings.json, filled in as for the machine.
    [[nodiscard]] std::string settingsOf(std::size_t index, bool bootstrap) const
    {
        const Daemon &daemon = m_daemons[index];
        const auto at = [](std::uint32_t address, std::uint16_t port) {
            return toString(Endpoint{address, port});
        };
        boost::json::array roots;
        for (const std::size_t root : Roots)
            roots.emplace_back(at(m_daemons[root].address, m_peerPort));
        const boost::json::object settings{
            {"forwarding", "direct"},
            {"name", daemon.name},
            {"domain", Zones[daemon.zone].name},
            {"addresses",
             {{"packets", at(daemon.address, m_packetPort)},
              {"readiness", at(daemon.address, m_readyPort)},
              {"metrics", at(daemon.address, m_metricsPort)},
              {"peers", at(daemon.address, m_peerPort)},
              {"usage", at(daemon.address, m_usagePort)}}},
            {"store",
             {{"address", at(0x7F000032U + static_cast<std::uint32_t>(index), m_storePort)},
              {"timeout", "1s"}}},
            {"roots", roots},
            {"peers", {{"patience", bootstrap ? "3s" : "0ms"}}},
            {"killedAfter", m_grace + "s"},
            {"log", {{"linesPerSecond", 20}}},
            {"flows", {{"lifetime", "60s"}}}};
        return boost::json::serialize(settings);
    }

    void start(std::size_t index, bool bootstrap)
    {
        Daemon &daemon = m_daemons[index];
        const std::string settings = m_directory + '/' + daemon.name + ".json";
        std::ofstream{settings} << settingsOf(index, bootstrap);
        const std::string log = m_directory + '/' + daemon.name + ".log";
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        std::string program = "target/baobabtraild";
        std::string option = "--settings";
        std::string path = settings;
        std::array<char *, 4> arguments{program.data(), option.data(), path.data(), nullptr};
        if (::posix_spawn(&daemon.process, program.c_str(), &files, nullptr, arguments.data(),
                          environ)
            != 0)
            daemon.process = 0;
        posix_spawn_file_actions_destroy(&files);
        m_record.line("start of ", daemon.name);
    }

    void waitForEnd(std::size_t index, Clock::time_point killAt)
    {
        Daemon &daemon = m_daemons[index];
        if (::waitpid(daemon.process, nullptr, WNOHANG) == daemon.process) {
            m_record.line("end of ", daemon.name);
            daemon.process = 0;
            after(m_context, 300ms, [this, index] { start(index, false); });
            return;
        }
        if (Clock::now() >= killAt)
            ::kill(daemon.process, SIGKILL);
        after(m_context, 20ms, [this, index, killAt] { waitForEnd(index, killAt); });
    }

    void probeLater()
    {
        after(m_context, 500ms, [this] {
            for (Daemon &daemon : m_daemons)
                probe(daemon);
            probeLater();
        });
    }

    void probe(Daemon &daemon)
    {
        struct Try
        {
            explicit Try(asio::io_context &context)
                : stream(context)
            {
            }
            boost::beast::tcp_stream stream;
            http::request<http::empty_body> request{http::verb::get, "/baobabtrail/ready", 11};
            http::response<http::string_body> response;
            boost::beast::flat_buffer buffer;
        };
        const auto each = std::make_shared<Try>(m_context);
        each->stream.expires_after(400ms);
        const auto fail = [&daemon] { ++daemon.misses; };
        each->stream.async_connect(
            tcp::endpoint{asio::ip::address_v4{daemon.address}, m_readyPort},
            [each, &daemon, fail](boost::system::error_code error) {
                if (error)
                    return fail();
                each->request.keep_alive(false);
                http::async_write(
                    each->stream, each->request,
                    [each, &daemon, fail](boost::system::error_code failed, std::size_t) {
                        if (failed)
                            return fail();
                        http::async_read(
                            each->stream, each->buffer, each->response,
                            [each, &daemon, fail](boost::system::error_code last, std::size_t) {
                                if (last || each->response.result() != http::status::ok)
                                    return fail();
                                daemon.misses = 0;
                            });
                    });
            });
    }

    asio::io_context &m_context;
    asio::signal_set m_ends{m_context, SIGTERM, SIGINT}; ///< Of this process, by its caller.
    Record &m_record;
    std::string m_grace;
    standins::PlatformService m_service;
    standins::HttpServer m_http;
    std::uint16_t m_packetPort;
    std::uint16_t m_readyPort;
    std::uint16_t m_metricsPort;
    std::uint16_t m_peerPort;
    std::uint16_t m_usagePort;
    std::uint16_t m_serverPort;
    std::uint16_t m_storePort;
    std::string m_directory;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::map<Server *, Clock::time_point> m_beats;
    bool m_down = false;
};

} // namespace review
