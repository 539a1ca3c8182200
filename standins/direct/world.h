#pragma once

#include "direct/caller.h"
#include "direct/operated_store.h"
#include "direct/target.h"
#include "direct/tcp_proxy.h"
#include "net/http_client.h"
#include "support/free_ports.h"
#include "support/process.h"
#include "support/temporary_directory.h"

#include <fstream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail::standins {

/// \brief A complete system on loopback addresses: the platform's store, real daemons that reach it
/// through one proxy each, and targets, routers and callers in this process.
class World
{
public:
    using Clock = std::chrono::steady_clock;

    /// \param roots Number of daemons, counted from the first, that watch the store.
    World(std::size_t daemons, std::size_t roots, std::size_t callers)
        : m_ports(test::freePorts(3))
        , m_roots(roots)
    {
        m_store.writeRoutes(m_routes);
        for (std::size_t index = 0; index < daemons; ++index) {
            m_proxies.push_back(std::make_unique<TcpProxy>(m_context, storePort()));
            m_peerProxies.push_back(std::make_unique<TcpProxy>(
                m_context, tcpEndpoint(peerAddress(index)), tcpEndpoint(peerListener(index))));
            m_daemons.push_back(nullptr);
            m_misses.push_back(FirstMisses);
        }
        for (std::size_t index = 0; index < callers; ++index) {
            const Endpoint address{0x7F000100U + static_cast<std::uint32_t>(index), packetPort()};
            m_callers.push_back(std::make_unique<Caller>(
                m_context, address, m_rotation,
                [this](const Endpoint &route) { return endExpected(route); }, callerLog));
        }
        probeLater();
    }

    [[nodiscard]] boost::asio::io_context &context() noexcept { return m_context; }
    [[nodiscard]] std::size_t daemonCount() const noexcept { return m_daemons.size(); }
    [[nodiscard]] bool running(std::size_t index) const { return m_daemons[index] != nullptr; }
    [[nodiscard]] TcpProxy &storeOf(std::size_t index) { return *m_proxies[index]; }
    /// \return The proxy through which other daemons reach a daemon.
    [[nodiscard]] TcpProxy &peersOf(std::size_t index) { return *m_peerProxies[index]; }
    [[nodiscard]] std::vector<std::unique_ptr<Caller>> &callers() noexcept { return m_callers; }
    /// \return Index of the daemon with this source address.
    [[nodiscard]] std::size_t indexOf(const Endpoint &daemon) const
    {
        return daemon.address - daemonAddress(0, 0).address;
    }
    [[nodiscard]] std::size_t inRotation() const noexcept { return m_rotation.daemons.size(); }
    [[nodiscard]] static Endpoint routeOf(int number) { return OperatedStore::routeOf(number); }

    void run(std::chrono::milliseconds span)
    {
        m_context.restart();
        m_context.run_for(span);
    }

    /// \return Whether \a condition became true within \a limit.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        while (!condition() && Clock::now() < end)
            run(std::chrono::milliseconds{10});
        return condition();
    }

    // Daemons.

    void startDaemon(std::size_t index)
    {
        m_daemons[index] = std::make_unique<test::Process>(
            "baobabtraild", std::vector<std::string>{"--settings=" + writeSettings(index)}, output,
            logDirectory + "/daemon" + std::to_string(index) + ".log");
    }

    /// \brief Sends a signal to a daemon; after SIGKILL it counts as not running.
    void signal(std::size_t index, int number)
    {
        if (m_daemons[index])
            m_daemons[index]->send(number);
        if (number == SIGKILL)
            m_daemons[index].reset();
    }

    /// \return Whether a daemon has ended by itself.
    [[nodiscard]] bool hasEnded(std::size_t index) const { return m_daemons[index]->ended(); }
    /// \return The id of a daemon's process.
    [[nodiscard]] pid_t processOf(std::size_t index) const { return m_daemons[index]->id(); }
    /// \return Where a daemon receives its packets.
    [[nodiscard]] Endpoint packetsOf(std::size_t index) const { return daemonAddress(index, 0); }

    /// \brief Closes the reading end of a daemon's log pipe, as if the log reader had died.
    void endLogReader(std::size_t index) { m_daemons[index]->closeOutput(); }

    /// \brief Sends SIGTERM to a daemon and runs the rest of the system until it exits.
    /// \return Its exit status.
    int stopDaemon(std::size_t index)
    {
        m_daemons[index]->send(SIGTERM);
        (void)runUntil([&] { return m_daemons[index]->ended(); }, std::chrono::seconds{8});
        const int status = m_daemons[index]->waitForEnd();
        m_daemons[index].reset();
        return status;
    }

    /// \brief Moves a daemon's access to the store to another address; the old one refuses
    /// connections. Rewrites the daemon's settings file without signalling the daemon.
    void moveStore(std::size_t index)
    {
        m_proxies[index]->set(TcpProxy::Mode::Refusing);
        m_movedProxies.push_back(std::move(m_proxies[index]));
        m_proxies[index] = std::make_unique<TcpProxy>(m_context, storePort());
        (void)writeSettings(index);
    }

    // The store, with the writes of operators and targets.

    void setSwitches(const std::string &json) { m_store.setSwitches(json); }
    void compact() { m_store.compact(); }
    /// \brief Another writer leaves an entry. \see OperatedStore::writeOdd
    void writeOdd(const std::string &kind, const std::string &name, const std::string &content)
    {
        m_store.writeOdd(kind, name, content);
    }
    void signalStore(int number) const { m_store.signal(number); }

    /// \brief Adds or removes one route; route 0 is always present.
    void setRoute(int number, bool there)
    {
        if (there)
            m_routes.insert(number);
        else
            m_routes.erase(number);
        m_removedAt[number] = Clock::now();
        m_store.writeRoutes(m_routes);
    }

    /// \brief Adds or removes many routes, which get no traffic, in one version of the
    /// configuration.
    void setRoutes(int first, int count, bool there)
    {
        for (int number = first; number < first + count; ++number) {
            if (there)
                m_routes.insert(number);
            else
                m_routes.erase(number);
        }
        m_store.writeRoutes(m_routes);
    }

    /// \return Version of the last configuration written.
    [[nodiscard]] std::uint64_t newestConfiguration() const noexcept
    {
        return m_store.newestConfiguration();
    }
    /// \return Version of the configuration read from the store.
    [[nodiscard]] std::int64_t storedConfiguration() const { return m_store.storedConfiguration(); }

    /// \brief Remaining warm-up time that newly started targets report.
    std::chrono::milliseconds coldFor{0};

    /// \brief Starts a target and registers it.
    /// \return Its index in targets().
    std::size_t addTarget(const std::string &service, std::optional<Endpoint> address = {})
    {
        const std::uint64_t id = ++m_lastTarget;
        const Endpoint where
            = address.value_or(Endpoint{0x7F000200U + static_cast<std::uint32_t>(id), m_ports[2]});
        m_targets.push_back(std::make_unique<Target>(m_context, where, id, service, packetPort(),
                                                     std::chrono::milliseconds{20}, targetLog));
        if (coldFor.count() > 0)
            m_targets.back()->coldUntil(Clock::now() + coldFor, MaxOpensOfCold);
        if (const auto since = m_evacuated.find(OperatedStore::domainOf(id));
            since != m_evacuated.end())
            m_targets.back()->evacuateAt(Clock::now() + since->second);
        m_store.registerTarget(*m_targets.back(), coldFor);
        return m_targets.size() - 1;
    }

    /// \brief Evacuates a failure domain; flows that open there more than \a bound later count as
    /// evacuated.
    void evacuate(std::size_t domain, std::chrono::milliseconds bound)
    {
        m_store.evacuate(domain);
        m_evacuated[domain] = bound;
        eachTargetOf(domain, [&](Target &target) { target.evacuateAt(Clock::now() + bound); });
    }
    /// \brief Ends an evacuation.
    void restore(std::size_t domain)
    {
        eachTargetOf(domain, [](Target &target) { target.evacuateAt(std::nullopt); });
        m_evacuated.erase(domain);
        m_store.restore(domain);
    }
    [[nodiscard]] bool evacuated(std::size_t domain) const { return m_evacuated.contains(domain); }

    /// \brief Deletes the registration of a live target.
    /// \see reregister
    void lapse(std::size_t index)
    {
        const std::uint64_t id = m_targets[index]->id();
        if (m_lapsed.contains(id))
            return;
        unregister(id);
        m_lapsed.insert(id);
    }
    void reregister(std::size_t index)
    {
        if (m_targets[index] && m_lapsed.erase(m_targets[index]->id()) > 0)
            m_store.registerTarget(*m_targets[index], coldFor);
    }

    /// \brief Reports a target as draining; flows that open there more than \a bound later count as
    /// late.
    void drain(std::size_t index, std::chrono::milliseconds bound)
    {
        reregister(index);
        m_store.reportDraining(*m_targets[index], coldFor);
        m_targets[index]->closeAt(Clock::now() + bound);
    }

    /// \brief Removes a target without deleting its registration; the caller unregisters it later.
    /// \return Its address, which may be reused.
    Endpoint crash(std::size_t index)
    {
        const Endpoint address = m_targets[index]->address();
        m_lastCrash = Clock::now();
        m_targets[index].reset();
        return address;
    }

    void unregister(std::uint64_t id)
    {
        if (m_lapsed.erase(id) == 0)
            m_store.unregister(id);
    }

    [[nodiscard]] const std::vector<std::unique_ptr<Target>> &targets() const noexcept
    {
        return m_targets;
    }

    CallerLog callerLog;
    TargetLog targetLog;
    test::Process::Output output = test::Process::Output::Hidden;
    std::string logDirectory;       ///< Directory of the daemons' logs if \a output is File.
    std::string killedAfter = "6s"; ///< As in the daemons' settings.
    std::uint32_t logLinesPerSecond = 10000; ///< Of each kind.

    /// \return Address of a daemon's metrics and of its administration API for baobabctl.
    [[nodiscard]] Endpoint administrationOf(std::size_t index) const
    {
        return daemonAddress(index, 1);
    }

    /// \return A daemon's metrics page; empty if it doesn't answer in time.
    [[nodiscard]] std::string metricsOf(std::size_t index)
    {
        // Shared with the handler: if this process stalls, the answer arrives after the wait ends.
        const auto page = std::make_shared<std::optional<std::string>>();
        get(administrationOf(index), "/metrics", [page](const HttpResult &result) {
            const auto *response = std::get_if<HttpClientResponse>(&result);
            *page = response ? response->body() : "";
        });
        (void)runUntil([&] { return page->has_value(); }, std::chrono::seconds{2});
        return page->value_or("");
    }

private:
    /// \brief Maximum new flows per second at a cold target: 1.5 times its warm-up rate plus five.
    static constexpr std::size_t MaxOpensOfCold = 23;
    /// \brief Failed probes in a row that take a daemon out of rotation; also the initial count, so
    /// that a new daemon joins only after it has answered.
    static constexpr int FirstMisses = 2;
    /// \brief How long after a target's crash its flows may be reset: the registration lingers, and
    /// callers retransmit at growing intervals.
    static constexpr std::chrono::seconds EndsAfterCrash{20};

    [[nodiscard]] std::uint16_t packetPort() const { return m_ports[0]; }
    [[nodiscard]] std::uint16_t storePort() const { return m_store.port(); }

    /// \param kind 0 for the packet port, 1 for the HTTP port.
    [[nodiscard]] Endpoint daemonAddress(std::size_t index, std::size_t kind) const
    {
        return {0x7F00000AU + static_cast<std::uint32_t>(index), m_ports[kind]};
    }

    [[nodiscard]] Endpoint peerAddress(std::size_t index) const
    {
        return {0x7F000032U + static_cast<std::uint32_t>(index), m_ports[1]};
    }

    /// \return Address on which a daemon listens for peers, which reach it through peerAddress().
    [[nodiscard]] Endpoint peerListener(std::size_t index) const
    {
        return {0x7F000096U + static_cast<std::uint32_t>(index), m_ports[1]};
    }

    [[nodiscard]] static TcpProxy::tcp::endpoint tcpEndpoint(const Endpoint &endpoint)
    {
        return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
    }

    [[nodiscard]] Endpoint readinessAddress(std::size_t index) const
    {
        return {0x7F000064U + static_cast<std::uint32_t>(index), m_ports[1]};
    }

    [[nodiscard]] bool endExpected(const Endpoint &route) const
    {
        const auto changed = m_removedAt.find(route.port - routeOf(0).port);
        const bool removed = changed != m_removedAt.end();
        return removed || (m_lastCrash && Clock::now() - *m_lastCrash < EndsAfterCrash);
    }

    [[nodiscard]] std::string settingsOf(std::size_t index) const
    {
        boost::json::array roots;
        for (std::size_t root = 0; root < m_roots; ++root)
            roots.emplace_back(toString(peerAddress(root)));
        const boost::json::object settings{
            {"forwarding", "direct"},
            {"name", "d" + std::to_string(index)},
            {"domain", "domain" + std::to_string(index % 3)},
            {"addresses",
             {{"packets", toString(daemonAddress(index, 0))},
              {"metrics", toString(daemonAddress(index, 1))},
              {"readiness", toString(readinessAddress(index))},
              {"peers", toString(peerListener(index))},
              {"peersReachedAt", toString(peerAddress(index))}}},
            {"store",
             {{"address", "127.0.0.1:" + std::to_string(m_proxies[index]->port())},
              {"timeout", "1s"}}},
            {"roots", roots},
            {"log", {{"linesPerSecond", logLinesPerSecond}}},
            {"killedAfter", killedAfter}};
        return boost::json::serialize(settings);
    }

    /// \brief Rewrites the daemon's settings file.
    /// \return Its path.
    std::string writeSettings(std::size_t index) const
    {
        std::string path = m_directory.file("daemon" + std::to_string(index) + ".json");
        const std::string next = path + ".next";
        std::ofstream{next} << settingsOf(index);
        std::filesystem::rename(next, path); // Atomic, so that no partial file is read.
        return path;
    }

    template <typename Each>
    void eachTargetOf(std::size_t domain, Each each)
    {
        for (const auto &target : m_targets) {
            if (target && OperatedStore::domainOf(target->id()) == domain)
                each(*target);
        }
    }

    void get(const Endpoint &server, const std::string &path, HttpClient::Handler done)
    {
        HttpCall call;
        call.server = server;
        call.request = HttpClientRequest{boost::beast::http::verb::get, path, 11};
        call.request.set(boost::beast::http::field::connection, "close");
        call.timeout = std::chrono::milliseconds{400};
        m_http.call(std::move(call), std::move(done));
    }

    void probeLater()
    {
        m_probeTimer.expires_after(std::chrono::milliseconds{500});
        m_probeTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            for (std::size_t index = 0; index < m_daemons.size(); ++index)
                probe(index);
            probeLater();
        });
    }

    void probe(std::size_t index)
    {
        get(readinessAddress(index), "/baobabtrail/ready", [this, index](const HttpResult &result) {
            const auto *response = std::get_if<HttpClientResponse>(&result);
            const bool ready = response && response->result() == boost::beast::http::status::ok;
            m_misses[index] = ready ? 0 : m_misses[index] + 1;
            m_rotation.daemons.clear();
            for (std::size_t each = 0; each < m_daemons.size(); ++each) {
                if (m_misses[each] < FirstMisses)
                    m_rotation.daemons.push_back(daemonAddress(each, 0));
            }
        });
    }

    boost::asio::io_context m_context;
    test::TemporaryDirectory m_directory;
    OperatedStore m_store;
    test::Ports m_ports;
    std::size_t m_roots;
    HttpClient m_http{m_context};
    boost::asio::steady_timer m_probeTimer{m_context};
    std::vector<std::unique_ptr<TcpProxy>> m_proxies;
    std::vector<std::unique_ptr<TcpProxy>> m_peerProxies;
    std::vector<std::unique_ptr<TcpProxy>> m_movedProxies; ///< Their links may still close.
    std::vector<std::unique_ptr<test::Process>> m_daemons;
    std::vector<int> m_misses;
    Rotation m_rotation;
    std::set<int> m_routes{0, 1};
    std::map<int, Clock::time_point> m_removedAt;
    std::map<std::size_t, std::chrono::milliseconds> m_evacuated; ///< Bounds by failure domain.
    std::uint64_t m_lastTarget = 0;
    std::set<std::uint64_t> m_lapsed; ///< Running targets without a registration.
    std::optional<Clock::time_point> m_lastCrash;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Caller>> m_callers;
};

} // namespace baobabtrail::standins
