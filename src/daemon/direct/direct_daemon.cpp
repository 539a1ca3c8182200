#include "daemon/direct/direct_daemon.h"

#include "core/direct/opening_copies.h"
#include "daemon/admin/statement_body.h"
#include "daemon/clock.h"
#include "daemon/direct/direct_tables.h"
#include "daemon/settings/settings_reader.h"
#include "platform/packet_form.h"
#include "platform/registry_form.h"
#include "wire/evidence_form.h"
#include "wire/usage_form.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>

namespace baobabtrail::daemon {

namespace {

// The root tolerates no failure: a direct child that fails ends the process, since a supervisor
// below the root fails only after it has restarted its children as often as allowed.
constexpr std::size_t NoFailures = 0;
/// Reserved before the process is killed, for an orderly shutdown.
constexpr Duration KillMargin = 700ms;
constexpr Duration ClockPeriod = 500ms;
/// Interval of checks for a changed settings file. A check costs three system calls. After the
/// store has moved, the present view can be used for longer than this interval.
constexpr Duration SettingsPeriod = 2s;
/// The upstream load balancer sends flows elsewhere after two probes without an answer, half a
/// second apart: from then on this daemon no longer decides alone.
constexpr Duration StallThreshold = 1s;
static_assert(ClockPeriod < StallThreshold);

[[nodiscard]] RestartPolicy withoutFailures(RestartPolicy policy) noexcept
{
    policy.maxFailures = NoFailures;
    return policy;
}

} // namespace

DirectDaemon::DirectDaemon(DirectDaemonSettings settings, SettingsFile file, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_file(std::move(file))
    , m_seed(seed)
    , m_log(m_settings.log.linesPerSecond)
    , m_stalls(StallThreshold, monotonicNow())
    , m_clockTimer(m_context)
    , m_settingsTimer(m_context)
    , m_stopTimer(m_context)
    , m_quiet(m_context)
    , m_network("network", m_settings.restarts, runtime())
    , m_http("http", m_settings.restarts, runtime())
    , m_root("daemon", withoutFailures(m_settings.restarts), runtime())
{
    buildTree();
}

DirectDaemon::~DirectDaemon()
{
    m_root.stop();
}

ExitStatus DirectDaemon::run()
{
    m_log.started(m_settings.name, m_settings.domain, m_settings.addresses.packets,
                  m_settings.store.platform, m_settings.node.flows.mechanisms);
    m_root.start([this](const std::string &why) {
        writeEvent(LogEvent{Severity::Error, Part::Daemon, "gives_up"}.field("why", why));
        finish(ExitStatus::Failed);
    });
    m_context.run();
    writeEvent(LogEvent{Severity::Info, Part::Daemon, "end"}.field("name", m_settings.name));
    return m_status;
}

void DirectDaemon::buildTree()
{
    addNetwork();
    addHttp();
    m_root.add(m_network.asChild());
    m_root.add(ownedChild("node", m_node, [this](const FailureHandler &) { startNode(); }));
    m_root.add(m_http.asChild());
    m_root.add({"clocks", [this](const FailureHandler &) { watchClocks(); },
                [this] { m_clockTimer.cancel(); }});
    m_root.add({"settings", [this](const FailureHandler &) { watchSettings(); },
                [this] { m_settingsTimer.cancel(); }});
    m_root.add(
        ownedChild("signals", m_signals, [this](const FailureHandler &) { startSignals(); }));
}

void DirectDaemon::addNetwork()
{
    m_network.add(ownedChild("packet socket", m_packets, [this](const FailureHandler &failed) {
        m_packets = std::make_unique<UdpSocket>(
            m_context, m_settings.addresses.packets, m_settings.sockets, m_metrics.packets,
            [this](const Datagram &datagram) { handlePacket(datagram); }, failed);
        m_packets->beforeBatch([this] { checkStall(); });
    }));
    if (!m_settings.addresses.usage.isNull()) {
        m_network.add(ownedChild("usage socket", m_usage, [this](const FailureHandler &failed) {
            m_usage = std::make_unique<UdpSocket>(
                m_context, m_settings.addresses.usage, m_settings.sockets, m_metrics.usage,
                [this](const Datagram &datagram) { handleUsage(datagram); }, failed);
            m_usage->beforeBatch([this] { checkStall(); });
        }));
    }
    m_network.add(ownedChild("store", m_store, [this](const FailureHandler &) {
        m_store = std::make_unique<PlatformClient>(m_context, m_settings.store);
    }));
    m_network.add(ownedChild("peers", m_peers, [this](const FailureHandler &) {
        m_peers = std::make_unique<HttpClient>(m_context);
    }));
}

void DirectDaemon::addHttp()
{
    using Answer = HttpReply (DirectDaemon::*)(const HttpRequest &) const;
    const auto at = [this](Answer answer) {
        return [this, answer](const HttpRequest &request, const HttpServer::Respond &respond) {
            respond((this->*answer)(request));
        };
    };
    const auto add = [this](std::string name, std::unique_ptr<HttpServer> &owner,
                            const Endpoint &address, const HttpServer::Handle &handle) {
        if (address.isNull())
            return;
        m_http.add(ownedChild(std::move(name), owner,
                              [this, &owner, address, handle](const FailureHandler &failed) {
                                  owner = std::make_unique<HttpServer>(
                                      m_context, address, m_settings.http, handle, failed);
                              }));
    };
    const DirectAddresses &addresses = m_settings.addresses;
    add("readiness", m_readiness, addresses.readiness, at(&DirectDaemon::readiness));
    add("metrics", m_metricsServer, addresses.metrics, at(&DirectDaemon::administration));
    add("peer questions", m_peerServer, addresses.peers,
        [this](const HttpRequest &request, const HttpServer::Respond &respond) {
            answerPeer(request, respond);
        });
}

void DirectDaemon::startNode()
{
    const PeerIdentity identity{m_settings.addresses.identity(), m_settings.domain};
    m_node = std::make_unique<DirectNode>(identity, m_settings.node, callbacks(), m_seed);
    m_node->start(m_settings.roots);
}

void DirectDaemon::handlePacket(const Datagram &datagram)
{
    const std::string_view bytes = datagram.bytes;
    platform::ReadPacket packet = platform::readPacket(bytes);
    if (packet.error != platform::PacketError::None) {
        ++m_metrics.packetsRefused;
        m_log.refusedPacket(datagram.from, bytes.size(), platform::toText(packet.error),
                            monotonicNow());
        return;
    }
    packet.segment.receivedAt = datagram.receivedAt;
    if (const auto verdict = m_node->handle(packet.segment, bytes))
        applyVerdict(packet.segment, bytes, *verdict);
    else
        ++m_metrics.packetsDelayed;
}

void DirectDaemon::handleUsage(const Datagram &datagram)
{
    if (const auto evidence = wire::decodeEvidence(datagram.bytes)) {
        if (m_node)
            m_node->handle(datagram.from, *evidence, datagram.receivedAt);
        return;
    }
    const auto report = wire::decodeUsage(datagram.bytes);
    if (!report) {
        ++m_metrics.usageMalformed;
        return;
    }
    if (m_node)
        m_node->handle(datagram.from, *report, datagram.receivedAt);
}

void DirectDaemon::sendUsage(const Endpoint &to, const UsageMessage &report)
{
    if (m_usage)
        m_usage->send(to, wire::encodeUsage(report));
}

void DirectDaemon::applyVerdict(const Segment &segment, std::string_view bytes,
                                const SegmentVerdict &verdict)
{
    if (!m_packets)
        return; // The socket is being restarted: both ends see this as packet loss.
    if (const auto *deliver = std::get_if<DeliverSegment>(&verdict)) {
        m_packets->send(deliver->address,
                        platform::toTarget(bytes, deliver->target, deliver->label),
                        segment.opens ? placeableUntil(segment) : std::nullopt);
    } else if (const auto *abort = std::get_if<AbortFlow>(&verdict)) {
        // Callers listen at the same port number at which daemons receive their packets.
        m_packets->send({segment.flow.caller.address, m_settings.addresses.packets.port},
                        platform::abortPacket(segment.flow, abort->sequence));
    }
}

HttpReply DirectDaemon::readiness(const HttpRequest &request) const
{
    if (request.path != platform::ReadinessPath)
        return {404, "text/plain", "not found\n"};
    if (m_stopping || !m_node || !m_node->ready())
        return {503, "text/plain", "not ready\n"};
    return {200, "text/plain", "ready\n"};
}

// Statements need no operator key here: they can't change anything, and the metrics page at the
// same address exposes as much.
HttpReply DirectDaemon::administration(const HttpRequest &request) const
{
    if (!m_node)
        return {503, "text/plain", "not ready\n"};
    const auto metrics = [this] {
        return m_metrics.page(*m_node,
                              m_peerServer ? m_peerServer->connections() : HttpConnections{},
                              m_log.leftOut());
    };
    if (request.path == "/metrics")
        return {200, "text/plain; version=0.0.4", metrics()};
    if (request.path != StatementPath)
        return {404, "text/plain", "not found\n"};
    const auto body = readStatementBody(request.body);
    if (const auto *finding = std::get_if<std::string>(&body))
        return usageReply(400, *finding);
    const DirectBackend backend{m_settings.name, m_settings.domain, m_settings.addresses.identity(),
                                m_node.get(),    monotonicNow(),    metrics};
    return resultReply(200, executeDirect(backend, std::get<language::Request>(body).text));
}

void DirectDaemon::watchClocks()
{
    m_clockTimer.start(ClockPeriod, [this] {
        checkStall();
        m_log.writeMassChanges(monotonicNow());
        watchClocks();
    });
}

void DirectDaemon::checkStall()
{
    const TimePoint now = monotonicNow();
    const auto gap = m_stalls.check(now);
    if (!gap)
        return;
    for (UdpSocket *socket : {m_packets.get(), m_usage.get()}) {
        if (socket)
            socket->processStalled(now - *gap);
    }
    if (m_node)
        m_node->processStalled(*gap);
}

void DirectDaemon::startSignals()
{
    m_signals = std::make_unique<boost::asio::signal_set>(m_context, SIGTERM, SIGINT, SIGHUP);
    waitForSignal();
}

void DirectDaemon::waitForSignal()
{
    m_signals->async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload(m_file.read(), "signal");
        else
            stop();
        waitForSignal();
    });
}

// The file may change without a signal. A daemon that kept using its old roots or the old address
// of the store would lose contact to both, one after the other.
void DirectDaemon::watchSettings()
{
    m_settingsTimer.start(SettingsPeriod, [this] {
        if (const auto settings = m_file.readIfChanged())
            reload(*settings, "the file has changed");
        watchSettings();
    });
}

void DirectDaemon::reload(const AnySettings &read, std::string_view reason)
{
    if (const auto *findings = std::get_if<Findings>(&read)) {
        for (const Finding &finding : *findings)
            writeEvent(LogEvent{Severity::Error, Part::Daemon, "reload_refused"}
                           .field("place", finding.place)
                           .field("finding", finding.text));
        return;
    }
    const auto *settings = std::get_if<DirectDaemonSettings>(&read);
    if (!settings) {
        writeEvent(LogEvent{Severity::Error, Part::Daemon, "reload_refused"}
                       .field("place", "forwarding")
                       .field("finding", "can't change while the daemon runs"));
        return;
    }
    const bool moved = settings->store.platform != m_settings.store.platform;
    m_settings.store = settings->store;
    m_settings.killedAfter = settings->killedAfter;
    m_settings.stopLinger = settings->stopLinger;
    if (settings->roots != m_settings.roots) {
        m_settings.roots = settings->roots;
        m_node->setRoots(m_settings.roots);
    }
    if (moved) {
        m_store = std::make_unique<PlatformClient>(m_context, m_settings.store);
        m_node->processStalled(Duration{0});
    }
    writeEvent(LogEvent{Severity::Info, Part::Daemon, "reload"}
                   .field("reason", reason)
                   .field("store_moved", moved)
                   .field("roots", m_settings.roots.size()));
}

void DirectDaemon::stop()
{
    if (m_stopping) {
        finish(ExitStatus::Done);
        return;
    }
    m_stopping = true;
    writeEvent(LogEvent{Severity::Info, Part::Daemon, "stop"}.field(
        "flows", m_node ? m_node->router().flows() : 0));
    // Requests still held would be lost with the process, and their callers would not be notified.
    if (m_node)
        m_node->stopHolding();
    m_stopTimer.start(m_settings.killedAfter - std::min(KillMargin, m_settings.killedAfter / 2),
                      [this] { finish(ExitStatus::Done); });
    const auto unread = [this] { return m_packets && m_packets->hasUnread(); };
    m_quiet.start(m_settings.stopLinger, {m_metrics.packets.datagramsIn, unread},
                  [this] { finish(ExitStatus::Done); });
}

void DirectDaemon::finish(ExitStatus status)
{
    m_status = status;
    // Deferred, as the caller may be a component that is about to be destroyed.
    boost::asio::post(m_context, [this] {
        m_root.stop();
        m_context.stop();
    });
}

SupervisorRuntime DirectDaemon::runtime()
{
    return asioRuntime(m_context,
                       [](const std::string &child, const std::string &why, Duration delay) {
                           writeEvent(LogEvent{Severity::Warning, Part::Daemon, "part_failed"}
                                          .field("child", child)
                                          .field("why", why)
                                          .field("restart_in_ms", delay));
                       });
}

} // namespace baobabtrail::daemon
