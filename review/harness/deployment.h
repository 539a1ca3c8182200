#pragma once

/// \file
/// \brief A small deployment on loopback addresses, with real daemons.

#include "ends.h"

#include <csignal>
#include <deque>
#include <filesystem>
#include <sys/types.h>

namespace review {

/// \brief Bounds of the small sites, as their sheets give them.
struct Bounds
{
    static constexpr auto StabilityWindow = 4000ms;
    static constexpr auto ConfigApply = 3000ms;
    static constexpr auto Drain = 3000ms;
    static constexpr auto Flow = 2000ms;
    static constexpr int FlowPackets = 3; ///< To other servers, and none to its own.
    static constexpr int GraceSeconds = 6;
    static constexpr int FlowLifetimeSeconds = 60;
};

/// \brief A daemon: a process with the command of the deploy file and the filled-in template.
class Daemon
{
public:
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    Daemon() = default;

    void start(const std::string &settingsPath, const std::string &logPath);
    void signal(int number) const;
    [[nodiscard]] bool runs();

private:
    pid_t m_process = -1;
};

/// \brief Store, routers, daemons, servers and consumers of one run.
class Deployment
{
public:
    struct Shape
    {
        std::size_t daemons = 2;
        std::size_t servers = 4;
        std::size_t consumers = 4;
        /// Whether the seeds are stale: addresses of machines that are gone. Otherwise the first
        /// three daemons.
        bool staleSeeds = false;
    };

    Deployment(const Shape &shape, const std::string &folder);
    /// \brief Ends all daemons, and removes their settings and logs unless KEEP_LOGS is set.
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// \brief Runs until all daemons are in rotation. \return Whether that happened in time.
    bool start();
    /// \brief Calls \a step at a time after start().
    void at(Clock::duration time, std::function<void()> step);
    /// \brief Runs for \a span after start().
    void run(Clock::duration span);

    /// \brief Writes a configuration with these routes, all to the service "lending".
    /// \return The time of the ack.
    Time configure(const std::vector<std::string> &routes);
    /// \brief A server reports that it is draining. \return The time of the ack.
    Time drain(std::size_t server);
    /// \brief A server that drained leaves: its process ends, then its entry is removed.
    void leave(std::size_t server);

    [[nodiscard]] Address route(const std::string &name) const;
    [[nodiscard]] static std::string nameOfDaemon(std::size_t daemon);
    [[nodiscard]] std::string serverAt(const Address &address) const;
    [[nodiscard]] std::string routeAt(const std::string &port) const;

    asio::io_context context;
    Record record;
    Store store{context};
    Router router{context, record};
    ServerLog serverLog;
    std::deque<Daemon> daemons;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Consumer>> consumers;

private:
    [[nodiscard]] Address address(std::uint8_t host, std::uint16_t port) const;
    [[nodiscard]] std::string settingsOf(std::size_t daemon) const;
    void startDaemon(std::size_t daemon);

    Shape m_shape;
    std::filesystem::path m_temporary;
    std::uint32_t m_net = 0; ///< The upper 24 bits of all addresses.
    std::vector<std::uint16_t> m_ports;
    std::map<std::string, std::string> m_serverNames; ///< By address.
    std::uint64_t m_version = 0;
    Time m_started;
};

} // namespace review
