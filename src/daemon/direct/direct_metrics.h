#pragma once

#include "core/direct/direct_node.h"
#include "daemon/admin/http_server.h"
#include "daemon/metrics/duration_histogram.h"
#include "daemon/metrics/metrics.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// Names of SegmentCause in metric labels and log events.
inline constexpr std::array<std::string_view, 15> SegmentCauseNames{
    "forwarded",     "placed",     "offered_again", "repeated",      "moved",
    "no_route",      "stale_view", "no_target",     "route_removed", "target_gone",
    "unknown_label", "held",       "absorbed",      "given_up",      "opening_expired"};
/// Names of DirectTargetState in metric labels and log events; "trusted" is a healthy target.
inline constexpr std::array<std::string_view, 7> TargetStateNames{
    "trusted", "suspect", "draining", "evacuated", "lapsed", "gone", "refused"};
/// Names of FlowTime in metric labels.
inline constexpr std::array<std::string_view, 3> FlowTimeNames{"open", "answer", "held"};

/// Names of ProbeOutcome in metric labels.
inline constexpr std::array<std::string_view, 4> ProbeOutcomeNames{"alive", "refused", "silent",
                                                                   "unsure"};

/// Names of QueryOutcome in metric labels and log events.
inline constexpr std::array<std::string_view, 7> QueryOutcomeNames{
    "taken", "stale", "blank", "redirected", "refused", "misfit", "unanswered"};

[[nodiscard]] constexpr std::string_view nameOf(QueryOutcome outcome) noexcept
{
    return QueryOutcomeNames[static_cast<std::size_t>(outcome)];
}
[[nodiscard]] constexpr std::string_view nameOf(SegmentCause cause) noexcept
{
    return SegmentCauseNames[static_cast<std::size_t>(cause)];
}
[[nodiscard]] constexpr std::string_view nameOf(DirectTargetState state) noexcept
{
    return TargetStateNames[static_cast<std::size_t>(state)];
}

/// \brief Counters and histograms of a daemon that forwards directly.
///
/// Memory is bounded: services beyond a maximum share the entry "other".
class DirectMetrics
{
public:
    void decided(const SegmentDecision &decision, const RouteTable &routes);
    void measured(const FlowMeasurement &measured, const RouteTable &routes);
    void queryEnded(const PeerQueryEnded &queryEnded);
    void planChanged(const PlanChange &change, const RouteTable &routes);

    /// \param peers Connections of other daemons.
    /// \param logLinesLeftOut Log events suppressed by the rate limit so far.
    /// \return The metrics page, in the Prometheus text exposition format.
    [[nodiscard]] std::string page(const DirectNode &node, const HttpConnections &peers,
                                   std::uint64_t logLinesLeftOut) const;

    SocketCounters packets;
    SocketCounters usage;
    std::uint64_t usageMalformed = 0;  ///< Datagrams that are not valid usage reports.
    std::uint64_t packetsRefused = 0;  ///< Datagrams that are not valid packets.
    std::uint64_t openingsExpired = 0; ///< Opening segments that had waited when they were read.
    std::uint64_t objectsRefused = 0;  ///< Objects of the store that are invalid.
    std::uint64_t processStalls = 0;
    std::uint64_t packetsDelayed = 0;      ///< Had to wait for the directory.
    std::uint64_t peerQueriesAnswered = 0; ///< Queries of this daemon.
    std::uint64_t peerQueriesFailed = 0;
    std::uint64_t peerQueriesServed = 0; ///< Queries of other daemons.
    std::uint64_t peerBytesServed = 0;   ///< Body bytes of the answers to them.
    CounterArray<ProbeOutcomeNames.size()> probes{};
    std::array<CounterArray<PlatformResultNames.size()>, PlatformCallNames.size()> storeCalls{};

private:
    struct Service
    {
        CounterArray<SegmentCauseNames.size()> causes{};
        std::array<DurationHistogram, FlowTimeNames.size()> times;
        std::uint64_t planChanges = 0;
    };

    [[nodiscard]] Service &entryOf(ServiceId service, const RouteTable &routes);
    static void writeNode(Exposition &page, const DirectNode &node);
    static void writeDomains(Exposition &page, const DirectNode &node);
    static void writeOverload(Exposition &page, const DirectNode &node);
    /// \brief Load by service and failure domain, and the plans that follow from it.
    void writeLoads(Exposition &page, const DirectNode &node) const;
    void writeEvents(Exposition &page, std::uint64_t logLinesLeftOut) const;
    void writeServices(Exposition &page) const;
    void writePeerQueries(Exposition &page) const;
    static void writeTree(Exposition &page, const DirectNode &node, const HttpConnections &peers);
    void writeSocket(Exposition &page) const;
    void writeUsage(Exposition &page, const DirectNode &node) const;
    static void writeEvidence(Exposition &page, const DirectNode &node);

    /// \brief Queries to other daemons, by outcome.
    struct PeerQueries
    {
        CounterArray<QueryOutcomeNames.size()> outcomes{};
        CounterArray<QueryOutcomeNames.size()> bytes{};
        DurationHistogram answerTimes; ///< Of answers that were applied; without the query's wait.
    };

    std::map<std::string, Service, std::less<>> m_services;
    PeerQueries m_peerQueries;
};

} // namespace baobabtrail::daemon
