#pragma once

#include "core/keys.h"
#include "core/traffic/settings.h"
#include "daemon/admin/admin_api.h"
#include "daemon/admin/http_server.h"
#include "daemon/datagram_dispatcher.h"
#include "daemon/exit_status.h"
#include "daemon/log/log.h"
#include "daemon/metrics/metrics.h"
#include "daemon/net/links.h"
#include "daemon/net/udp_socket.h"
#include "daemon/nodes/control_runner.h"
#include "daemon/nodes/traffic_runner.h"
#include "daemon/quiet_wait.h"
#include "daemon/records/records_client.h"
#include "daemon/records/records_server.h"
#include "daemon/settings/settings.h"
#include "daemon/supervisor/asio_runtime.h"
#include "net/restartable_timer.h"
#include "store/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>

namespace baobabtrail::daemon {

/// \brief The whole daemon: its components under a supervision tree, all on one thread.
///
///     daemon
///     ├── network         data socket, peer socket, links, records server, records client,
///     │                   platform
///     ├── core            traffic core, control core
///     ├── administration  HTTP
///     └── signals
class Daemon
{
public:
    /// \param incarnation Must increase with each start of the same daemon.
    Daemon(Settings settings, Incarnation incarnation);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// \brief Runs until a signal stops the daemon or its root supervisor gives up.
    /// \return The status that the process exits with.
    [[nodiscard]] ExitStatus run();

    /// \brief Starts a graceful stop; a second call ends the daemon immediately.
    void stop();

private:
    void buildSupervisors();
    void addNetwork();
    void addCore();
    void startTrafficCore(const FailureHandler &failed);
    void startControlCore(const FailureHandler &failed);
    void startSignals();
    [[nodiscard]] SupervisorRuntime runtime();

    [[nodiscard]] TrafficCallbacks trafficCallbacks();
    [[nodiscard]] ControlCallbacks controlCallbacks();
    [[nodiscard]] language::Backend backend();

    void callPlatform(const PlatformRequest &request, std::function<void(PlatformResult)> done);
    void publish(const ConfigPtr &config);
    void propose(const ProposeCommand &action);
    void report(const Notice &notice);
    [[nodiscard]] Gauges gauges() const;

    void trafficStopped();
    void finish(ExitStatus status);

    boost::asio::io_context m_context{1};
    Settings m_settings;
    NodeIdentity m_identity;
    Metrics m_metrics;
    NoticeLog m_log;
    std::shared_ptr<KeyRing> m_keys;
    ConfigPtr m_config = std::make_shared<const Config>();

    std::unique_ptr<UdpSocket> m_dataSocket;
    std::unique_ptr<UdpSocket> m_peerSocket;
    std::unique_ptr<Links> m_links;
    std::unique_ptr<RecordsServer> m_recordsServer;
    std::unique_ptr<RecordsClient> m_recordsClient;
    std::unique_ptr<PlatformClient> m_platform;
    std::unique_ptr<TrafficRunner> m_traffic;
    std::unique_ptr<ControlRunner> m_control;
    std::unique_ptr<HttpServer> m_http;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    DatagramDispatcher m_dispatcher;

    RestartableTimer m_stopTimer;
    QuietWait m_quiet;
    bool m_stopping = false;
    ExitStatus m_status = ExitStatus::Done;

    Supervisor m_network;
    Supervisor m_core;
    Supervisor m_administration;
    Supervisor m_root;
};

} // namespace baobabtrail::daemon
