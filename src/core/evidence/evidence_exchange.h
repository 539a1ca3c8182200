#pragma once

#include "core/endpoint.h"
#include "core/evidence/evidence_table.h"
#include "core/usage/usage_exchange.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief Intervals and bounds of an EvidenceExchange.
struct EvidenceSettings
{
    bool enabled = true;
    /// Daemons that have to find a target silent before all of their failure domain avoid it. A
    /// single one may have a fault of its own.
    std::uint32_t reporters = 2;
    /// Reports wait for others that can share their datagram.
    Duration batchDelay = 20ms;
    std::size_t maxReports = 40; ///< In one message; fits in a datagram.
    /// A report counts for this long. It is repeated while the target stays silent, each time for
    /// twice as long, so that a long failure costs few reports.
    Duration firstLasts = 5s;
    Duration maxLasts = 40s;
};

/// \brief Clock, timers, transport and event handlers of an EvidenceExchange.
struct EvidenceCallbacks
{
    std::function<TimePoint()> now;
    std::function<void(Duration, std::function<void()>)> after;
    std::function<void(const Endpoint &peer, const EvidenceMessage &message)> send;
    /// Daemons next to this one in the tree that distributes the directory.
    std::function<std::vector<TreeNeighbour>()> neighbours;
    /// Another daemon of this failure domain is the first that found the target silent.
    std::function<void(TargetId target)> firstReported;
    /// What the daemons of this failure domain say about the target has changed.
    std::function<void(TargetId target)> changed;
};

/// \brief Tells the other daemons which targets this one found silent, and learns it from them.
///
/// Each of a thousand daemons sees so few flows to each of ten thousand targets that a failed one
/// would cost each daemon a caller's request before all avoid it. Reports pass along the tree that
/// distributes the directory, each once over each of its edges.
///
/// A report ends by its age, so that a daemon which died or lost contact keeps no target out of
/// use. Nothing has to be agreed on.
class EvidenceExchange
{
public:
    /// \brief Reports since the start.
    struct Counts
    {
        std::uint64_t made = 0;
        std::uint64_t received = 0; ///< That were news.
        std::uint64_t known = 0;    ///< That were known, out of date or not credible.
        std::uint64_t sent = 0;     ///< Summed over the daemons that they were sent to.
        std::uint64_t messages = 0; ///< Sent.
    };

    /// \param domain Failure domain of this daemon.
    EvidenceExchange(EvidenceSettings settings, EvidenceCallbacks callbacks,
                     std::string_view domain, ReporterId self);
    EvidenceExchange(const EvidenceExchange &) = delete;
    EvidenceExchange &operator=(const EvidenceExchange &) = delete;

    /// \brief This daemon has observed the target.
    void observed(TargetId target, TargetSign sign);
    /// \param receivedAt When it reached this VM. The reports may have waited since: they count as
    /// old as they are by now.
    void handle(const Endpoint &from, const EvidenceMessage &message, TimePoint receivedAt);
    /// \brief The target has restarted under the same id.
    void forget(TargetId target);
    /// \brief Ends reports by their age, and tells new neighbours what counts; to be called about
    /// once a second.
    void expire();

    /// \return Whether enough daemons of this failure domain found the target silent.
    [[nodiscard]] bool isReportedSilent(TargetId target) const;
    /// \return The daemons of this failure domain that found the target silent.
    [[nodiscard]] std::vector<EvidenceTable::Silence> silences(TargetId target) const;
    [[nodiscard]] const Counts &counts() const noexcept { return m_counts; }
    [[nodiscard]] const EvidenceTable &table() const noexcept { return m_table; }

private:
    /// \brief A report that waits to be sent.
    struct Pending
    {
        EvidenceReport report;
        TimePoint since{};
        Endpoint from; ///< Its sender, which needs it least; null for this daemon.
    };

    [[nodiscard]] bool isDue(TargetId target,
                             const std::vector<EvidenceTable::Silence> &known) const;
    [[nodiscard]] Duration nextLasts(TargetId target);
    [[nodiscard]] bool isCredible(const EvidenceReport &report) const;
    void enqueue(const EvidenceReport &report, const Endpoint &from);
    void scheduleFlush();
    void flush();
    void send(const Endpoint &to, std::vector<EvidenceReport> reports);

    EvidenceSettings m_settings;
    EvidenceCallbacks m_callbacks;
    DomainKey m_domain;
    ReporterId m_self;
    std::uint32_t m_sequence = 0;
    EvidenceTable m_table;
    std::map<TargetId, Duration> m_lasts; ///< Of this daemon's last reports of silent targets.
    std::vector<Pending> m_pending;
    bool m_flushScheduled = false;
    std::set<TreeNeighbour> m_neighbours; ///< That were told all that counts.
    Counts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
