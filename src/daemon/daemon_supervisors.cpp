// Builds the supervision tree and starts its children.

#include "daemon/clock.h"
#include "daemon/daemon.h"

#include <csignal>

namespace baobabtrail::daemon {

namespace {

/// \return A random seed that differs between daemons and between starts of the same daemon.
[[nodiscard]] std::uint64_t seedOf(const NodeIdentity &identity) noexcept
{
    return identity.daemon.value() * 0x9E3779B97F4A7C15ULL ^ identity.incarnation.value();
}

} // namespace

void Daemon::buildSupervisors()
{
    addNetwork();
    addCore();
    const auto startHttp = [this](const FailureHandler &failed) {
        const auto api = std::make_shared<AdminApi>(
            backend(), m_settings.administration.operatorKeyHashes, m_metrics.counters());
        const auto handle = [api](const HttpRequest &request, const HttpServer::Respond &respond) {
            api->handle(request, respond);
        };
        m_http = std::make_unique<HttpServer>(m_context, m_settings.addresses.administration,
                                              m_settings.administration, handle, failed);
    };
    m_administration.add(ownedChild("http", m_http, startHttp));

    m_root.add(m_network.asChild());
    m_root.add(m_core.asChild());
    m_root.add(m_administration.asChild());
    m_root.add(
        ownedChild("signals", m_signals, [this](const FailureHandler &) { startSignals(); }));
}

void Daemon::addNetwork()
{
    Counters &counters = m_metrics.counters();
    const ListenAddresses &listen = m_settings.addresses;

    m_network.add(ownedChild("data socket", m_dataSocket, [&, this](const FailureHandler &failed) {
        const auto receive = [this](const Datagram &datagram) {
            m_dispatcher.fromFabric(datagram.from, datagram.bytes);
        };
        m_dataSocket = std::make_unique<UdpSocket>(m_context, listen.data, m_settings.sockets,
                                                   counters.data, receive, failed);
    }));
    m_network.add(ownedChild("peer socket", m_peerSocket, [&, this](const FailureHandler &failed) {
        const auto receive = [this](const Datagram &datagram) {
            m_dispatcher.fromPeer(datagram.from, datagram.bytes);
        };
        m_peerSocket = std::make_unique<UdpSocket>(m_context, listen.peer, m_settings.sockets,
                                                   counters.peer, receive, failed);
    }));
    m_network.add(ownedChild("links", m_links, [&, this](const FailureHandler &) {
        m_links = std::make_unique<Links>(m_context, m_settings.links, counters,
                                          [this](TrafficEvent event) {
                                              if (m_traffic)
                                                  m_traffic->handle(std::move(event));
                                          });
    }));
    m_network.add(
        ownedChild("records server", m_recordsServer, [&, this](const FailureHandler &failed) {
            const auto serve = [&, this](std::string_view request) {
                auto reply = m_control ? m_control->serve(request) : std::nullopt;
                ++(reply ? counters.recordsServed : counters.recordsRefused);
                return reply;
            };
            m_recordsServer = std::make_unique<RecordsServer>(
                m_context, listen.records, m_settings.records.connections, serve, failed);
        }));
    m_network.add(ownedChild("records client", m_recordsClient, [this](const FailureHandler &) {
        m_recordsClient = std::make_unique<RecordsClient>(m_context, m_settings.records.timeout);
    }));
    m_network.add(ownedChild("platform", m_platform, [this](const FailureHandler &) {
        m_platform = std::make_unique<PlatformClient>(m_context, m_settings.platform);
    }));
}

void Daemon::addCore()
{
    // Neither core is restarted on its own: one that threw may hold a half-applied change, and a
    // restarted one has lost which requests it sent to targets. Callers and peers can detect that
    // only by the new incarnation of a new process.
    // The stopped cores stay allocated until the daemon is destroyed, since other components still
    // query them; they ignore all further events.
    const auto keep = [] {};
    m_core.add(
        {"traffic core", [this](const FailureHandler &failed) { startTrafficCore(failed); }, keep});
    m_core.add(
        {"control core", [this](const FailureHandler &failed) { startControlCore(failed); }, keep});
}

void Daemon::startTrafficCore(const FailureHandler &failed)
{
    m_traffic = std::make_unique<TrafficRunner>(m_context, m_identity, m_settings.traffic, m_keys,
                                                seedOf(m_identity), trafficCallbacks(), failed);
}

void Daemon::startControlCore(const FailureHandler &failed)
{
    m_control = std::make_unique<ControlRunner>(m_context, m_identity, m_settings.control, m_keys,
                                                ~seedOf(m_identity), controlCallbacks(), failed);
    m_control->start();
}

void Daemon::startSignals()
{
    m_signals = std::make_unique<boost::asio::signal_set>(m_context, SIGTERM, SIGINT);
    m_signals->async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        stop();
        startSignals();
    });
}

} // namespace baobabtrail::daemon
