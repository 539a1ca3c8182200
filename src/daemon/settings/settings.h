#pragma once

#include "core/control/control_node.h"
#include "core/notice.h"
#include "core/traffic/settings.h"
#include "store/client.h"

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Addresses that the daemon listens on.
struct ListenAddresses
{
    Endpoint data;           ///< UDP; datagrams of callers and targets, handed on by the fabric.
    Endpoint peer;           ///< UDP; other daemons, and targets that answer an open.
    Endpoint records;        ///< TCP, HTTP.
    Endpoint administration; ///< TCP, HTTP.
};

/// \brief Buffers of the UDP sockets.
struct SocketSettings
{
    std::size_t batch = 32; ///< Datagrams for one system call.
    std::uint32_t receiveBufferBytes = 4 << 20;
    std::uint32_t sendBufferBytes = 4 << 20;
};

/// \brief Connections to targets.
struct LinkSettings
{
    Duration connectTimeout = 1s;
    std::size_t maxQueuedBytes = 4 << 20; ///< A target that doesn't read loses its connection here.
};

struct RecordsSettings
{
    Duration timeout = 2s;
    std::uint32_t connections = 64; ///< Of other daemons that are kept.
};

struct AdministrationSettings
{
    std::vector<std::string> operatorKeyHashes; ///< Hexadecimal, as accessKeyHash() makes them.
    Duration timeout = 10s;                     ///< For reading a request and writing its reply.
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxConnections = 64;
};

struct LogSettings
{
    Severity level = Severity::Info;
    std::uint32_t linesPerSecond = 5; ///< Of one kind; more are counted and left out.
};

struct MetricsSettings
{
    std::size_t maxWorkspaces = 64; ///< Workspaces that have own histograms; the rest share one.
};

/// \brief When a child is restarted, and when its parent gives up.
struct RestartPolicy
{
    Duration firstDelay = 100ms;
    Duration maxDelay = 5s;
    std::size_t maxFailures = 5; ///< More failures than this within the window fail the parent.
    Duration window = 1min;
};

/// \brief All that a settings file says.
struct Settings
{
    DaemonId daemon;
    std::string domain;
    ListenAddresses addresses;
    std::vector<std::uint32_t> fabric; ///< IPv4 addresses whose PROXY headers are believed.
    PlatformClientSettings platform;
    std::string clusterSecret;
    Duration stopTimeout = 30s; ///< Longest graceful stop.
    Duration stopLinger = 1s;   ///< Without a datagram of the fabric, before the stop ends.
    SocketSettings sockets;
    LinkSettings links;
    RecordsSettings records;
    AdministrationSettings administration;
    LogSettings log;
    MetricsSettings metrics;
    RestartPolicy restarts;
    TrafficSettings traffic;
    ControlSettings control;
};

} // namespace baobabtrail::daemon
