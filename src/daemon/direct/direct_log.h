#pragma once

#include "core/direct/direct_node.h"
#include "daemon/direct/mass_changes.h"
#include "daemon/direct/source_search.h"
#include "daemon/log/log_event.h"
#include "daemon/log/log_limiter.h"

#include <functional>
#include <string>
#include <utility>

namespace baobabtrail::daemon {

/// \brief Logs the decisions of a DirectNode and the state changes of its targets, with a rate
/// limit for each kind of event.
///
/// An event identifies the flow by both of its endpoints and the caller's first sequence number. It
/// also holds the target with the inputs of the decision, and the age and version of the view.
class DirectLog
{
public:
    using Out = std::function<void(const LogEvent &)>;

    /// \param linesPerSecond Limit for each kind of event.
    /// \param out Called with each event; by default it is written to standard output.
    explicit DirectLog(std::uint32_t linesPerSecond, Out out = writeEvent)
        : m_limiter(linesPerSecond)
        , m_out(std::move(out))
    {
    }

    /// \brief Logs that the process has started.
    /// \param packets Where callers' packets are received.
    /// \param store Address of the platform's store.
    void started(const std::string &name, const std::string &domain, const Endpoint &packets,
                 const Endpoint &store, const Mechanisms &mechanisms = {});
    /// \brief Logs that the directory is complete, so that traffic is accepted from now on.
    void ready(const DirectNode &node);
    void write(const SegmentDecision &decision, const DirectNode &node, TimePoint now);
    /// \brief Logs how long a held request waited, and answers that were unusually slow.
    ///
    /// Other times are only recorded in the histograms of DirectMetrics.
    void write(const FlowMeasurement &measured, const DirectNode &node, TimePoint now);
    /// \brief Logs the change, or counts it among many of its kind. \see writeMassChanges
    void write(const TargetStateChange &change, const DirectNode &node, TimePoint now);
    /// \brief Logs the changes of many targets that have ended, a line for each kind; to be called
    /// about twice a second.
    void writeMassChanges(TimePoint now);
    void write(const SaturationChange &change, const DirectNode &node, TimePoint now);
    /// \brief Logs what begins or ends in the placement of a service's new flows, an event for each
    /// of spill and reservations, with the load that decided.
    void write(const PlanChange &change, const DirectNode &node, TimePoint now);
    void write(const NodeNotice &notice, TimePoint now);

    /// \brief Logs that a datagram was dropped because it is not a valid packet of a caller.
    /// \param finding What is wrong with it, and where.
    void refusedPacket(const Endpoint &sender, std::size_t bytes, std::string_view finding,
                       TimePoint now);

    /// \return Events suppressed by the rate limit so far.
    [[nodiscard]] std::uint64_t leftOut() const noexcept { return m_leftOut; }

private:
    /// \brief Writes the event, or only counts it if its kind has reached its limit for this
    /// second. \param make Called only if the event is written.
    void admit(Part part, std::string_view kind, TimePoint now,
               const std::function<LogEvent()> &make);

    void writePlanEvent(std::string_view kind, bool begins, const PlanChange &change,
                        const DirectNode &node, TimePoint now);

    /// \brief Logs the search for a source, if SourceSearch finds it worth an event.
    void writeSearch(const QueryReport &end, TimePoint now);

    LogLimiter m_limiter;
    MassChanges m_massChanges;
    SourceSearch m_search;
    Out m_out;
    std::uint64_t m_leftOut = 0;
};

} // namespace baobabtrail::daemon
