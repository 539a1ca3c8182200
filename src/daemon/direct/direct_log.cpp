#include "daemon/direct/direct_log.h"

#include "daemon/direct/direct_metrics.h"

namespace baobabtrail::daemon {

namespace {

[[nodiscard]] Severity severityOf(SegmentCause cause) noexcept
{
    switch (cause) {
    case SegmentCause::Forwarded:
    case SegmentCause::Placed:
    case SegmentCause::Retransmitted:
    case SegmentCause::Held:
    case SegmentCause::Absorbed:
    case SegmentCause::Expired:
        return Severity::Info;
    default:
        return Severity::Warning;
    }
}

/// An answer that took at least this long is logged if it also took SlowFactor times the target's
/// average.
constexpr Duration MinSlowAnswer = 100ms;
constexpr int SlowFactor = 3;

/// \brief Adds the flow's id: both endpoints, as its caller sees them.
void addFlow(LogEvent &event, const Segment &segment)
{
    event.field("flow", toString(segment.flow.caller) + '>' + toString(segment.flow.service))
        .field("sequence", segment.sequence);
}

/// \brief Adds a target's state, as target selection uses it.
void addTarget(LogEvent &event, const DirectTarget &target, TimePoint now)
{
    event.field("target", target.entry.name)
        .field("address", target.entry.address)
        .field("domain", target.entry.domain)
        .field("in_flight", target.inFlight)
        .field("opening", target.opening)
        .field("open_flows", target.openFlows)
        .field("unanswered", target.unanswered)
        .field("probes_failed", target.probesFailed)
        .field("answer_ms", target.answerMicros / 1000.0);
    if (target.heardAt)
        event.field("heard_ms_ago", now - *target.heardAt);
}

/// \brief Adds what decides whether a request is held until the target has room.
void addWindow(LogEvent &event, const DirectNode &node, const DirectTarget &target)
{
    const TargetWindow *window = node.router().gate().window(target.entry.id);
    event.field("held", target.held);
    if (window && window->limited())
        event.field("window", window->size()).field("usual_ms", window->meanAnswerTime());
}

void addView(LogEvent &event, const DirectNode &node)
{
    event.field("config", node.router().routes().version)
        .field("revision", node.version().value())
        .field("fresh", node.fresh());
    if (const auto age = node.viewAge())
        event.field("view_age_ms", *age);
}

/// Answers of at least this many bytes are logged: they hold whole copies or large changes.
constexpr std::uint64_t LargeAnswer = 16384;

/// \return The event name of a query with this outcome.
[[nodiscard]] std::string_view kindOf(QueryOutcome outcome) noexcept
{
    return outcome == QueryOutcome::Applied ? "peer_copied" : "peer_unanswered";
}

/// \return Whether a query is counted in metrics but not logged. Most queries end within their wait
/// and return few bytes; state changes of the source and the search for one are logged separately.
[[nodiscard]] bool isCountedOnly(const QueryReport &end) noexcept
{
    // A query with a wait and a version goes to the source that answered until now.
    const bool contactLost = end.wait > Duration{0} && !end.after.isNull();
    switch (end.outcome) {
    case QueryOutcome::Unanswered:
    case QueryOutcome::Refused:
        return !contactLost && end.bytes == 0;
    case QueryOutcome::PatchMismatch:
        return false;
    case QueryOutcome::Applied:
        return end.bytes < LargeAnswer;
    default:
        return true;
    }
}

/// \return The event name of a change to this state.
[[nodiscard]] std::string_view nameOf(PeerState state) noexcept
{
    constexpr std::array<std::string_view, 4> names{"peers_fresh", "peers_waiting", "peers_stale",
                                                    "peers_lost"};
    return names[static_cast<std::size_t>(state)];
}

/// \brief Converts a notice to a log event.
struct NoticeLine
{
    LogEvent operator()(const RoutesInForce &in) const
    {
        LogEvent event{Severity::Info, Part::Config, "routes_in_force"};
        event.field("config", in.routes.version)
            .field("revision", in.version.value())
            .field("routes", in.routes.routes.size())
            .field("services", in.routes.serviceNames.size());
        return event;
    }
    LogEvent operator()(const ObjectRefused &in) const
    {
        LogEvent event{Severity::Warning, Part::Config, "object_refused"};
        event.field("place", in.finding.place)
            .field("finding", in.finding.text)
            .field("outcome", in.replaces
                                  ? "its target gets no new flows; all other objects stay in force"
                                  : "the last good view stays in force");
        return event;
    }
    LogEvent operator()(const StoreContact &in) const
    {
        LogEvent event{in.lost ? Severity::Warning : Severity::Info, Part::Platform,
                       in.lost ? "store_lost" : "store_back"};
        event.field("collection", in.collection);
        if (in.lost)
            event.field("why", in.why);
        if (in.age)
            event.field("view_age_ms", *in.age);
        return event;
    }
    LogEvent operator()(const StoreUse &in) const
    {
        LogEvent event{Severity::Info, Part::Distribution,
                       in.reads ? "store_read" : "store_left_to_peers"};
        event.field("root", in.root).field("state", nameOf(in.peers));
        return event;
    }
    LogEvent operator()(const PeerContact &in) const
    {
        LogEvent event{in.state == PeerState::Fresh ? Severity::Info : Severity::Warning,
                       Part::Distribution, nameOf(in.state)};
        if (!in.source.isNull())
            event.field("source", in.source);
        if (in.age)
            event.field("view_age_ms", *in.age);
        return event;
    }
    LogEvent operator()(const PeerQueryEnded &in) const
    {
        const QueryReport &end = in.end;
        const bool taken = end.outcome == QueryOutcome::Applied;
        LogEvent event{taken ? Severity::Info : Severity::Warning, Part::Distribution,
                       kindOf(end.outcome)};
        event.field("source", end.source)
            .field("after", end.after.value())
            .field("wait_ms", end.wait)
            .field("took_ms", end.took)
            .field("bytes", end.bytes);
        if (!end.why.empty())
            event.field("why", end.why);
        return event;
    }
    LogEvent operator()(const FollowerOverflow &in) const
    {
        LogEvent event{Severity::Info, Part::Distribution,
                       in.ended ? "turns_nobody_away" : "turns_away"};
        event.field("followers", in.followers);
        if (in.ended)
            event.field("sent_on", in.count).field("lasted_ms", in.lasted);
        return event;
    }
    LogEvent operator()(const HistoryLost &in) const
    {
        LogEvent event{Severity::Warning, Part::Platform, "history_lost"};
        event.field("collection", in.collection)
            .field("revision", in.version.value())
            .field("outcome", "all objects are listed again");
        return event;
    }
    LogEvent operator()(const DomainEvacuated &in) const
    {
        LogEvent event{Severity::Info, Part::Config,
                       in.ended ? "domain_restored" : "domain_evacuated"};
        event.field("domain", in.domain)
            .field("open_flows", in.openFlows)
            .field("revision", in.version.value())
            .field("outcome", in.ended ? "its targets get new flows again"
                                       : "its targets get no new flows; open ones stay");
        return event;
    }
    LogEvent operator()(const WaitingQueueFull &in) const
    {
        LogEvent event{Severity::Warning, Part::Flows, "waiting_full"};
        event.field("waiting", in.waiting).field("outcome", "dropped; the caller retransmits it");
        return event;
    }
    LogEvent operator()(const UsageContact &in) const
    {
        LogEvent event{Severity::Info, Part::Distribution, in.known ? "usage_known" : "usage_lost"};
        event.field("daemons", in.daemons).field("age_ms", in.age);
        return event;
    }
    LogEvent operator()(const ProcessStalled &in) const
    {
        LogEvent event{Severity::Warning, Part::Daemon, "stood_still"};
        event.field("gap_ms", in.gap).field("outcome", "the directory is read again");
        return event;
    }
};

} // namespace

void DirectLog::admit(Part part, std::string_view kind, TimePoint now,
                      const std::function<LogEvent()> &make)
{
    const auto before = m_limiter.admit(part, kind, now);
    if (!before) {
        ++m_leftOut;
        return;
    }
    LogEvent event = make();
    if (*before > 0)
        event.field("left_out", *before);
    m_out(event);
}

void DirectLog::started(const std::string &name, const std::string &domain, const Endpoint &packets,
                        const Endpoint &store, const Mechanisms &mechanisms)
{
    LogEvent event{Severity::Info, Part::Daemon, "start"};
    event.field("name", name).field("domain", domain).field("packets", packets);
    event.field("store", store);
    if (!mechanisms.complete())
        event.field("without", toString(mechanisms));
    m_out(event);
}

void DirectLog::ready(const DirectNode &node)
{
    LogEvent event{Severity::Info, Part::Daemon, "ready"};
    event.field("config", node.router().routes().version)
        .field("revision", node.version().value())
        .field("root", node.isRoot())
        .field("waiting", node.waiting());
    m_out(event);
}

void DirectLog::write(const SegmentDecision &decision, const DirectNode &node, TimePoint now)
{
    // Segments of open flows are counted but not logged: they are the bulk of the traffic, and no
    // target is selected for them.
    if (decision.cause == SegmentCause::Forwarded)
        return;
    const std::string_view kind = nameOf(decision.cause);
    admit(Part::Flows, kind, now, [&] {
        const Segment &segment = decision.segment;
        LogEvent event{severityOf(decision.cause), Part::Flows, kind};
        addFlow(event, segment);
        if (segment.opens)
            event.field("copy", segment.retransmits).field("waited_ms", segment.waited(now));
        else
            event.field("label", segment.label.value());
        const auto &names = node.router().routes().serviceNames;
        if (const auto name = names.find(decision.service); name != names.end())
            event.field("service", name->second);
        if (decision.target) {
            addTarget(event, *decision.target, now);
            addWindow(event, node, *decision.target);
        }
        addView(event, node);
        return event;
    });
}

void DirectLog::write(const FlowMeasurement &measured, const DirectNode &node, TimePoint now)
{
    if (measured.time == FlowTime::Held) {
        constexpr std::string_view released = "released";
        admit(Part::Flows, released, now, [&] {
            LogEvent event{Severity::Info, Part::Flows, released};
            addFlow(event, measured.segment);
            event.field("held_ms", measured.took);
            addTarget(event, measured.target, now);
            addWindow(event, node, measured.target);
            return event;
        });
        return;
    }
    if (measured.time != FlowTime::Answer || measured.took < MinSlowAnswer
        || measured.took < SlowFactor * measured.average)
        return;
    constexpr std::string_view kind = "slow_answer";
    admit(Part::Flows, kind, now, [&] {
        LogEvent event{Severity::Info, Part::Flows, kind};
        addFlow(event, measured.segment);
        event.field("took_ms", measured.took).field("usual_ms", measured.average);
        addTarget(event, measured.target, now);
        addView(event, node);
        return event;
    });
}

void DirectLog::write(const TargetStateChange &change, const DirectNode &node, TimePoint now)
{
    const std::string_view kind = nameOf(change.state);
    if (!m_massChanges.add(kind, change.target.entry, now))
        return;
    admit(Part::Targets, kind, now, [&] {
        LogEvent event{Severity::Info, Part::Targets, kind};
        addTarget(event, change.target, now);
        if (const auto silences = node.evidence().silences(change.target.entry.id);
            !silences.empty())
            event.field("reporters", silences.size());
        if (change.restarted)
            event.field("started_again", true);
        addView(event, node);
        const bool missing
            = change.state == DirectTargetState::Lapsed || change.state == DirectTargetState::Gone;
        if (const auto since = node.sinceStoreReturn(); since && missing)
            event.field("store_back_ms_ago", *since);
        return event;
    });
}

void DirectLog::writeMassChanges(TimePoint now)
{
    constexpr std::string_view kind = "targets_changed";
    for (const MassChange &mass : m_massChanges.takeEnded(now)) {
        std::string domains;
        for (const auto &[domain, targets] : mass.byDomain)
            domains += (domains.empty() ? "" : " ") + domain + ':' + std::to_string(targets);
        std::string sample;
        for (const std::string &name : mass.sample)
            sample += (sample.empty() ? "" : " ") + name;
        admit(Part::Targets, kind, now, [&] {
            LogEvent event{Severity::Info, Part::Targets, kind};
            event.field("to", mass.kind)
                .field("targets", mass.targets)
                .field("by_domain", domains)
                .field("sample", sample)
                .field("within_ms", mass.lasted);
            return event;
        });
    }
}

void DirectLog::write(const SaturationChange &change, const DirectNode &node, TimePoint now)
{
    const std::string_view kind = change.saturated ? "saturated" : "relieved";
    admit(Part::Targets, kind, now, [&] {
        LogEvent event{change.saturated ? Severity::Warning : Severity::Info, Part::Targets, kind};
        addTarget(event, change.target, now);
        event.field("held", change.target.held)
            .field("window", change.window)
            .field("usual_ms", change.averageAnswer);
        addView(event, node);
        return event;
    });
}

void DirectLog::write(const NodeNotice &notice, TimePoint now)
{
    constexpr std::array<std::string_view, std::variant_size_v<NodeNotice>> kinds{
        "routes_in_force", "object_refused",   "store_contact", "peer_contact",
        "history_lost",    "waiting_full",     "stood_still",   "peer_question",
        "turning_away",    "domain_evacuated", "usage_contact"};
    const auto *queryEnded = std::get_if<PeerQueryEnded>(&notice);
    if (queryEnded)
        writeSearch(queryEnded->end, now);
    if (queryEnded && isCountedOnly(queryEnded->end))
        return;
    admit(Part::Daemon, queryEnded ? kindOf(queryEnded->end.outcome) : kinds[notice.index()], now,
          [&] { return std::visit(NoticeLine{}, notice); });
}

void DirectLog::writeSearch(const QueryReport &end, TimePoint now)
{
    const auto report = m_search.ended(end, now);
    if (!report)
        return;
    const std::string_view kind = report->found ? "source_found" : "source_search";
    admit(Part::Distribution, kind, now, [&] {
        LogEvent event{report->found ? Severity::Info : Severity::Warning, Part::Distribution,
                       kind};
        event.field("tries", report->tries)
            .field("for_ms", report->lasted)
            .field("source", end.source)
            .field("outcome", nameOf(end.outcome));
        if (!end.why.empty())
            event.field("why", end.why);
        return event;
    });
}

void DirectLog::refusedPacket(const Endpoint &sender, std::size_t bytes, std::string_view finding,
                              TimePoint now)
{
    constexpr std::string_view kind = "packet_refused";
    admit(Part::Flows, kind, now, [&] {
        LogEvent event{Severity::Warning, Part::Flows, kind};
        event.field("sender", sender)
            .field("bytes", bytes)
            .field("finding", finding)
            .field("outcome", "dropped");
        return event;
    });
}

} // namespace baobabtrail::daemon
