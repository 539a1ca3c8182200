#include "deployment.h"

#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto Program = "target/baobabtraild"; ///< As the deploy file's line `run` has it.
constexpr auto Template = "deploy/settings.json";
constexpr std::uint16_t MetricsPort = 9100; ///< As the deploy file has it.

// Hosts of the deployment's net.
constexpr std::uint8_t FirstDaemon = 10;
constexpr std::uint8_t FirstStaleSeed = 50;
constexpr std::uint8_t FirstConsumer = 100;
constexpr std::uint8_t FirstServer = 150;
constexpr std::uint8_t StoreHost = 200;
constexpr std::uint8_t RouteHost = 250;

enum Port : std::size_t {
    PacketPort,
    ReadinessPort,
    ControlPort,
    UsagePort,
    StorePort,
    ServerPort,
    Ports
};

constexpr std::size_t MaxSeeds = 3;
constexpr std::uint16_t FirstRoutePort = 8000;
constexpr auto StartLimit = 15s;

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// \return A port that is free for TCP on all of the net's addresses at this moment.
std::uint16_t freePort(asio::io_context &context)
{
    Tcp::acceptor any(context, {asio::ip::address_v4::any(), 0});
    return any.local_endpoint().port();
}

} // namespace

Daemon::~Daemon()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void Daemon::start(const std::string &settingsPath, const std::string &logPath)
{
    const pid_t parent = ::getpid();
    m_process = ::fork();
    if (m_process < 0)
        throw std::runtime_error("can't fork");
    if (m_process > 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(1);
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(Program, Program, "--settings", settingsPath.c_str(), nullptr);
    ::_exit(127);
}

void Daemon::signal(int number) const
{
    ::kill(m_process, number);
}

bool Daemon::runs()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

Deployment::Deployment(const Shape &shape, const std::string &folder)
    : record(folder + "/record.txt")
    , m_shape(shape)
    , m_temporary(std::filesystem::temp_directory_path()
                  / ("baobabtrail-review-" + std::to_string(::getpid())))
{
    const auto process = static_cast<std::uint32_t>(::getpid());
    m_net = 127U << 24 | (64 + process / 250 % 128) << 16 | (1 + process % 250) << 8;
    for (std::size_t index = 0; index < Ports; ++index)
        m_ports.push_back(freePort(context));
    std::filesystem::create_directories(m_temporary);
    store.listen(address(StoreHost, StorePort));
    for (std::size_t index = 0; index < shape.daemons; ++index) {
        const auto host = static_cast<std::uint8_t>(FirstDaemon + index);
        router.add(nameOfDaemon(index), address(host, PacketPort), address(host, ReadinessPort));
    }
    for (std::size_t index = 0; index < shape.servers; ++index) {
        const Address where = address(static_cast<std::uint8_t>(FirstServer + index), ServerPort);
        // Ids are drawn, as the platform's are.
        const std::uint64_t id = 0x7f3a91c2U + 0x10417a3U * index;
        servers.push_back(
            std::make_unique<Server>(context, Server::Identity{id, where, "lending", "suva-depot"},
                                     m_ports[PacketPort], router, serverLog, record));
        m_serverNames[where.text()] = servers.back()->name();
        (void)store.put("servers", servers.back()->name(), servers.back()->entry("ready"));
    }
    for (std::size_t index = 0; index < shape.consumers; ++index) {
        consumers.push_back(std::make_unique<Consumer>(
            context, address(static_cast<std::uint8_t>(FirstConsumer + index), PacketPort), router,
            [this](const Address &sender) { return serverAt(sender); }, record));
    }
}

Deployment::~Deployment()
{
    daemons.clear();
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::cout << "logs: " << m_temporary << std::endl;
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_temporary, ignored);
}

Address Deployment::address(std::uint8_t host, std::uint16_t port) const
{
    return {m_net | host, m_ports[port]};
}

Address Deployment::route(const std::string &name) const
{
    return {m_net | RouteHost,
            static_cast<std::uint16_t>(FirstRoutePort + std::stoi(name.substr(1)))};
}

std::string Deployment::routeAt(const std::string &port) const
{
    return "r" + std::to_string(std::stoi(port) - FirstRoutePort);
}

std::string Deployment::nameOfDaemon(std::size_t daemon)
{
    return std::string("edge-") + static_cast<char>('A' + daemon);
}

std::string Deployment::serverAt(const Address &where) const
{
    const auto found = m_serverNames.find(where.text());
    return found == m_serverNames.end() ? "?" : found->second;
}

// Fills in the template's placeholders as DEPLOY.md tells. With stale seeds it is no first start of
// the whole system, so that bootstrap is false.
std::string Deployment::settingsOf(std::size_t daemon) const
{
    std::ifstream in(Template);
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    const auto host = static_cast<std::uint8_t>(FirstDaemon + daemon);
    json::array seeds;
    for (std::size_t index = 0; index < MaxSeeds; ++index) {
        const std::uint8_t first = m_shape.staleSeeds ? FirstStaleSeed : FirstDaemon;
        if (m_shape.staleSeeds || index < m_shape.daemons)
            seeds.emplace_back(
                address(static_cast<std::uint8_t>(first + index), ControlPort).text());
    }
    replaceAll(text, "{{node_name|json}}", '"' + nameOfDaemon(daemon) + '"');
    replaceAll(text, "{{zone|json}}", "\"suva-depot\"");
    replaceAll(text, "{{listen.datagram_addr}}", address(host, PacketPort).text());
    replaceAll(text, "{{listen.readiness_addr}}", address(host, ReadinessPort).text());
    replaceAll(text, "{{listen.control}}", address(host, ControlPort).text());
    replaceAll(text, "{{ip}}:9100", address(host, 0).host() + ':' + std::to_string(MetricsPort));
    replaceAll(text, "{{ip}}", address(host, 0).host());
    replaceAll(text, "{{port_range.0}}", std::to_string(m_ports[UsagePort]));
    replaceAll(text, "{{platform.address}}", address(StoreHost, StorePort).text());
    replaceAll(text, "{{seeds|json}}", json::serialize(seeds));
    const bool bootstrap = !m_shape.staleSeeds;
    replaceAll(text, "{{#bootstrap}}3s{{/bootstrap}}", bootstrap ? "3s" : "");
    replaceAll(text, "{{^bootstrap}}0ms{{/bootstrap}}", bootstrap ? "" : "0ms");
    replaceAll(text, "{{bounds.grace_s}}", std::to_string(Bounds::GraceSeconds));
    replaceAll(text, "{{bounds.flow_ttl_s}}", std::to_string(Bounds::FlowLifetimeSeconds));
    if (text.empty() || text.find("{{") != std::string::npos)
        throw std::runtime_error("the settings template has placeholders that aren't known here");
    return text;
}

void Deployment::startDaemon(std::size_t daemon)
{
    const std::string base = (m_temporary / nameOfDaemon(daemon)).string();
    std::ofstream(base + ".json") << settingsOf(daemon);
    daemons.emplace_back().start(base + ".json", base + ".log");
}

bool Deployment::start()
{
    for (std::size_t index = 0; index < m_shape.daemons; ++index)
        startDaemon(index);
    router.start();
    const auto allIn = [this] {
        for (std::size_t index = 0; index < m_shape.daemons; ++index) {
            if (!router.inRotation(nameOfDaemon(index)))
                return false;
        }
        return true;
    };
    const Time limit = Clock::now() + StartLimit;
    while (!allIn() && Clock::now() < limit)
        context.run_for(50ms);
    m_started = Clock::now();
    record.line("all daemons are in rotation");
    return allIn();
}

void Deployment::at(Clock::duration time, std::function<void()> step)
{
    after(context, m_started + time - Clock::now(), std::move(step));
}

void Deployment::run(Clock::duration span)
{
    context.run_for(m_started + span - Clock::now());
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        if (!daemons[index].runs())
            record.tell(nameOfDaemon(index) + " has ended by itself");
    }
}

Time Deployment::configure(const std::vector<std::string> &routes)
{
    json::array list;
    for (const std::string &name : routes) {
        const Address where = route(name);
        list.push_back(json::object{{"name", name},
                                    {"host", where.host()},
                                    {"path_prefix", '/' + std::to_string(where.port) + '/'},
                                    {"service", "lending"},
                                    {"kind", "idempotent"},
                                    {"timeout_ms", 2500},
                                    {"target_latency_ms", 250},
                                    {"priority", 2}});
    }
    m_version += 3;
    const Time acked
        = store.put("config", "main",
                    {{"version", m_version},
                     {"routes", list},
                     {"services", {json::object{{"name", "lending"}, {"health_path", "/health"}}}},
                     {"limits", {{"idle_timeout_ms", 12000}}}});
    std::string names;
    for (const std::string &name : routes)
        names += ' ' + name;
    record.line("the store acknowledges configuration " + std::to_string(m_version)
                + " with the routes" + names);
    return acked;
}

Time Deployment::drain(std::size_t server)
{
    servers[server]->drain();
    const Time acked
        = store.put("servers", servers[server]->name(), servers[server]->entry("draining"));
    record.line("the store acknowledges that " + servers[server]->name() + " is draining");
    return acked;
}

void Deployment::leave(std::size_t server)
{
    const std::string name = servers[server]->name();
    record.line(name + " ends, and its entry is removed");
    servers[server].reset();
    (void)store.remove("servers", name);
}

} // namespace review
