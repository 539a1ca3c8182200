#pragma once

#include "core/direct/direct_node.h"
#include "daemon/direct/source_search.h"
#include "daemon/log/log_event.h"
#include "daemon/log/log_limiter.h"

#include <functional>
#include <string>
#include <utility>

namespace baobabtrail::daemon {

/// \brief Writes what a DirectNode decides and believes, a bounded number of lines of each kind.
///
/// A line names the flow by both of its ends and the caller's first sequence number, the target
/// with the inputs that decided, and the age and version of the view.
class DirectLog
{
public:
    using Out = std::function<void(const LogEvent &)>;

    /// \param out Takes each line; standard output unless told otherwise.
    explicit DirectLog(std::uint32_t linesPerSecond, Out out = writeEvent)
        : m_limiter(linesPerSecond)
        , m_out(std::move(out))
    {
    }

    /// \brief The process has started. \param store Address of the platform's store.
    void started(const std::string &name, const std::string &domain, const Endpoint &packets,
                 const Endpoint &store, const Mechanisms &mechanisms = {});
    /// \brief The directory is complete; traffic is taken from now on.
    void ready(const DirectNode &node);
    void write(const SegmentDecision &decision, const DirectNode &node, TimePoint now);
    /// \brief Writes times that are unusual, and how long requests were held; all times are in the
    /// histograms.
    void write(const FlowMeasurement &measured, const DirectNode &node, TimePoint now);
    void write(const TargetStateChange &change, const DirectNode &node, TimePoint now);
    void write(const SaturationChange &change, const DirectNode &node, TimePoint now);
    void write(const NodeNotice &notice, TimePoint now);

    /// \brief Writes that a datagram is no packet of a caller. \param finding What, and where.
    void refusedPacket(const Endpoint &sender, std::size_t bytes, std::string_view finding,
                       TimePoint now);

    /// \return Lines that were left out so far.
    [[nodiscard]] std::uint64_t leftOut() const noexcept { return m_leftOut; }

private:
    /// \brief Writes the event, or counts it where its kind has had its lines for this second.
    void admit(Part part, std::string_view kind, TimePoint now,
               const std::function<LogEvent()> &make);

    void writeSearch(const QueryReport &end, TimePoint now);

    LogLimiter m_limiter;
    SourceSearch m_search;
    Out m_out;
    std::uint64_t m_leftOut = 0;
};

} // namespace baobabtrail::daemon
