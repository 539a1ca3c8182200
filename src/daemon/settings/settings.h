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
    Endpoint data;           ///< UDP; datagrams of callers and targets, forwarded by the fabric.
    Endpoint peer;           ///< UDP; other daemons, and targets that answer the opening of a flow.
    Endpoint records;        ///< TCP, HTTP.
    Endpoint administration; ///< TCP, HTTP.
};

/// \brief Buffers of the UDP sockets.
struct SocketSettings
{
    std::size_t batch = 32; ///< Maximum of datagrams per system call.
    std::uint32_t receiveBufferBytes = 4 << 20;
    std::uint32_t sendBufferBytes = 4 << 20;
};

/// \brief Connections to targets.
struct LinkSettings
{
    Duration connectTimeout = 1s;
    std::size_t maxQueuedBytes = 4 << 20; ///< Closes the connection of a target that doesn't read.
};

struct RecordsSettings
{
    Duration timeout = 2s;
    std::uint32_t connections = 64; ///< Maximum of keep-alive connections from other daemons.
};

struct AdministrationSettings
{
    std::vector<std::string> operatorKeyHashes; ///< Hexadecimal, as accessKeyHash() returns.
    Duration timeout = 10s;                     ///< For reading a request, and for writing a reply.
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxConnections = 64;
};

struct LogSettings
{
    Severity level = Severity::Info;
    std::uint32_t linesPerSecond = 5; ///< Per kind of line; further lines are counted and dropped.
};

struct MetricsSettings
{
    std::size_t maxWorkspaces = 64; ///< Workspaces with their own histograms; others share one.
};

/// \brief When a supervisor restarts a failed child, and when it fails itself.
struct RestartPolicy
{
    Duration firstDelay = 100ms;
    Duration maxDelay = 5s;
    std::size_t maxFailures = 5; ///< More failures within the window fail the supervisor.
    Duration window = 1min;
};

/// \brief The contents of a settings file.
struct Settings
{
    DaemonId daemon;
    std::string domain;
    ListenAddresses addresses;
    std::vector<std::uint32_t> fabric; ///< IPv4 addresses whose PROXY headers are trusted.
    PlatformClientSettings platform;
    std::string clusterSecret;
    Duration stopTimeout = 30s; ///< Maximum duration of a graceful stop.
    Duration stopLinger = 1s;   ///< Time without datagrams of the fabric that ends the stop.
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
