#pragma once

#include "core/direct/direct_node.h"
#include "daemon/admin/http_server.h"
#include "daemon/direct/direct_log.h"
#include "daemon/direct/direct_metrics.h"
#include "daemon/direct/direct_settings.h"
#include "daemon/exit_status.h"
#include "daemon/net/udp_socket.h"
#include "daemon/quiet_wait.h"
#include "daemon/settings/settings_file.h"
#include "daemon/stall_detector.h"
#include "daemon/supervisor/asio_runtime.h"
#include "net/restartable_timer.h"
#include "store/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>

namespace baobabtrail::daemon {

/// \brief The process of direct forwarding (direct server return): owns all components, under a
/// supervision tree, on one thread.
///
///     daemon
///     ├── network   packet socket, usage socket, store client, peer client
///     ├── node      directory and router
///     ├── http      readiness, metrics, queries of other daemons
///     ├── clocks    detects that the process stalled
///     ├── settings  detects that the settings file has changed
///     └── signals
class DirectDaemon
{
public:
    /// \param file Reloaded on SIGHUP and when it changes.
    /// \param seed Seed of every random choice.
    DirectDaemon(DirectDaemonSettings settings, SettingsFile file, std::uint64_t seed);
    ~DirectDaemon();
    DirectDaemon(const DirectDaemon &) = delete;
    DirectDaemon &operator=(const DirectDaemon &) = delete;

    /// \brief Runs until a signal stops the daemon or its root supervisor gives up.
    /// \return The exit status of the process.
    [[nodiscard]] ExitStatus run();

private:
    void buildTree();
    void addNetwork();
    void addHttp();
    void startNode();
    void startSignals();
    void waitForSignal();
    void watchClocks();
    /// \brief Tells the parts that rely on passing time if the process stalled. Called before
    /// packets are read, too: otherwise those that waited would be handled before the stall is
    /// known.
    void checkStall();
    void watchSettings();

    void handlePacket(const Datagram &datagram);
    void handleUsage(const Datagram &datagram);
    void sendUsage(const Endpoint &to, const UsageMessage &report);
    void applyVerdict(const Segment &segment, std::string_view bytes,
                      const SegmentVerdict &verdict);
    [[nodiscard]] DirectCallbacks callbacks();
    void callStore(const PlatformRequest &request, std::function<void(PlatformResult)> done);
    void queryPeer(const Endpoint &peer, const PeerQuery &query, const QueryTimeouts &timeouts,
                   std::function<void(PeerResult)> done);
    void probeTarget(const Endpoint &target, std::function<void(ProbeOutcome)> done);
    void answerPeer(const HttpRequest &request, const HttpServer::Respond &respond);
    [[nodiscard]] HttpReply readiness(const HttpRequest &request) const;
    [[nodiscard]] HttpReply administration(const HttpRequest &request) const;
    [[nodiscard]] SupervisorRuntime runtime();

    void reload(const AnySettings &read, std::string_view reason);
    void stop();
    void finish(ExitStatus status);

    boost::asio::io_context m_context{1};
    DirectDaemonSettings m_settings;
    SettingsFile m_file;
    std::uint64_t m_seed;
    DirectMetrics m_metrics;
    DirectLog m_log;

    std::unique_ptr<UdpSocket> m_packets;
    std::unique_ptr<UdpSocket> m_usage;
    std::unique_ptr<PlatformClient> m_store;
    std::unique_ptr<HttpClient> m_peers;
    std::unique_ptr<DirectNode> m_node;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::unique_ptr<HttpServer> m_peerServer;
    std::unique_ptr<boost::asio::signal_set> m_signals;

    StallDetector m_stalls;
    RestartableTimer m_clockTimer;
    RestartableTimer m_settingsTimer;
    RestartableTimer m_stopTimer;
    QuietWait m_quiet;
    bool m_stopping = false;
    ExitStatus m_status = ExitStatus::Done;

    Supervisor m_network;
    Supervisor m_http;
    Supervisor m_root;
};

} // namespace baobabtrail::daemon
