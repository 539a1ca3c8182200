#pragma once

#include "daemon/metrics/exposition.h"
#include "daemon/metrics/names.h"
#include "daemon/metrics/workspace_metrics.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace baobabtrail::daemon {

template <std::size_t Size>
using CounterArray = std::array<std::uint64_t, Size>;

/// \brief Counters of one UDP socket.
struct SocketCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t sendDrops = 0;   ///< Dropped because the kernel's send buffer was full.
    std::uint64_t sendExpired = 0; ///< Dropped because they had waited for too long.
    std::uint64_t truncated = 0;
    std::uint64_t badSource = 0; ///< Without a valid PROXY header, or not from the fabric.
    CounterArray<DecodeErrorNames.size()> decodeErrors{};
};

/// \brief Counters of a daemon's communication, its log and its restarts.
struct Counters
{
    SocketCounters data;
    SocketCounters peer;
    CounterArray<FlowMessageNames.size()> callerFlow{};
    CounterArray<RequestMessageNames.size()> callerRequest{};
    CounterArray<FlowMessageNames.size()> targetIn{};
    CounterArray<PeerMessageNames.size()> peerIn{};
    std::uint64_t recordsServed = 0;
    std::uint64_t recordsRefused = 0;
    std::uint64_t fetchesAnswered = 0;
    std::uint64_t fetchesFailed = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksFailed = 0; ///< Could not be established.
    std::uint64_t linksBroken = 0;
    std::uint64_t linkMessagesIn = 0;
    std::uint64_t linkMessagesOut = 0;
    std::uint64_t adminAccepted = 0;
    std::uint64_t adminUnauthorized = 0;
    std::array<CounterArray<PlatformResultNames.size()>, PlatformCallNames.size()> platform{};
    std::map<std::string, std::uint64_t> restarts; ///< By child; the number of children is fixed.
    std::uint64_t logLinesLeftOut = 0;
};

/// \brief Current values, read when the metrics page is requested.
struct Gauges
{
    std::uint64_t revision = 0;
    double configAgeSeconds = 0;
    std::size_t requests = 0;
    std::size_t pendingOpens = 0;
    std::size_t ownedTargets = 0;
    std::size_t runningAttempts = 0;
    std::size_t membersAlive = 0;
    std::size_t links = 0;
    /// Maximum divided by mean of the running and waiting requests of each owned target.
    double ownedImbalance = 0;
};

/// \brief All metrics of a daemon.
class Metrics
{
public:
    /// \see WorkspaceMetrics
    explicit Metrics(std::size_t maxWorkspaces);

    [[nodiscard]] Counters &counters() noexcept { return m_counters; }
    [[nodiscard]] WorkspaceMetrics &workspaces() noexcept { return m_workspaces; }

    /// \return The metrics page, in the Prometheus text exposition format.
    [[nodiscard]] std::string page(const Gauges &gauges) const;

private:
    Counters m_counters;
    WorkspaceMetrics m_workspaces;
};

} // namespace baobabtrail::daemon
