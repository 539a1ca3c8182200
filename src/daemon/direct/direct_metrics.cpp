#include "daemon/direct/direct_metrics.h"

namespace baobabtrail::daemon {

namespace {

/// Services with an entry of their own; each entry has two histograms of about 2 KB.
constexpr std::size_t MaxServices = 64;
/// Saturated targets with a sample of their own; a sample takes about 60 bytes.
constexpr std::size_t MaxWindows = 256;
constexpr std::string_view OtherService = "other";
constexpr std::string_view NoService = "none";

void writeOne(Exposition &page, std::string_view name, std::string_view type, std::string_view help,
              double value)
{
    page.family(name, type, help);
    page.sample({}, value);
}

} // namespace

DirectMetrics::Service &DirectMetrics::entryOf(ServiceId service, const RouteTable &routes)
{
    const auto name = routes.serviceNames.find(service);
    const std::string_view wanted
        = name != routes.serviceNames.end() ? std::string_view{name->second} : NoService;
    const auto known = m_services.find(wanted);
    if (known != m_services.end())
        return known->second;
    return m_services[std::string{m_services.size() < MaxServices ? wanted : OtherService}];
}

void DirectMetrics::decided(const SegmentDecision &decision, const RouteTable &routes)
{
    ++entryOf(decision.service, routes).causes[static_cast<std::size_t>(decision.cause)];
}

void DirectMetrics::measured(const FlowMeasurement &measured, const RouteTable &routes)
{
    Service &service = entryOf(measured.service, routes);
    service.times[static_cast<std::size_t>(measured.time)].add(measured.took);
}

void DirectMetrics::queryEnded(const PeerQueryEnded &queryEnded)
{
    const QueryReport &end = queryEnded.end;
    const auto outcome = static_cast<std::size_t>(end.outcome);
    ++m_peerQueries.outcomes[outcome];
    m_peerQueries.bytes[outcome] += end.bytes;
    if (end.outcome == QueryOutcome::Applied && end.took > end.wait)
        m_peerQueries.answerTimes.add(end.took - end.wait);
}

std::string DirectMetrics::page(const DirectNode &node, const HttpConnections &peers,
                                std::uint64_t logLinesLeftOut) const
{
    Exposition page;
    writeNode(page, node);
    writeTree(page, node, peers);
    writeLoads(page, node);
    writeEvents(page, logLinesLeftOut);
    writeServices(page);
    writeSocket(page);
    writePeerQueries(page);
    writeUsage(page, node);
    writeEvidence(page, node);
    page.family("baobabtrail_store_calls_total", "counter", "Calls to the store, by result.");
    for (std::size_t call = 0; call < PlatformCallNames.size(); ++call) {
        for (std::size_t result = 0; result < PlatformResultNames.size(); ++result) {
            if (storeCalls[call][result] == 0)
                continue;
            page.sample(
                {{"call", PlatformCallNames[call]}, {"result", PlatformResultNames[result]}},
                static_cast<double>(storeCalls[call][result]));
        }
    }
    return page.take();
}

void DirectMetrics::writeNode(Exposition &page, const DirectNode &node)
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    writeOne(page, "baobabtrail_ready", "gauge", "Whether traffic is accepted.", node.ready());
    writeOne(page, "baobabtrail_config_version", "gauge", "Version of the routes in force.",
             number(node.router().routes().version));
    writeOne(page, "baobabtrail_view_revision", "gauge", "Store revision that is in force.",
             number(node.version().value()));
    if (const auto age = node.viewAge())
        writeOne(page, "baobabtrail_view_age_seconds", "gauge",
                 "Time since the store last confirmed the view.",
                 std::chrono::duration<double>(*age).count());
    writeOne(page, "baobabtrail_flows", "gauge", "Flows whose load is counted.",
             number(node.router().flows()));
    CounterArray<TargetStateNames.size()> states{};
    for (const auto &[id, target] : node.router().targets().all())
        ++states[static_cast<std::size_t>(node.router().targets().state(target))];
    page.family("baobabtrail_targets", "gauge", "Targets, by state.");
    for (std::size_t index = 0; index < states.size(); ++index)
        page.sample({{"belief", TargetStateNames[index]}}, number(states[index]));
    writeDomains(page, node);
    writeOverload(page, node);
}

void DirectMetrics::writeDomains(Exposition &page, const DirectNode &node)
{
    const DirectTargets &targets = node.router().targets();
    page.family("baobabtrail_domain_evacuated_flows", "gauge",
                "Open flows of this daemon in failure domains that get no new ones.");
    for (const auto &[domain, since] : targets.evacuatedDomains())
        page.sample({{"domain", domain}}, static_cast<double>(targets.openFlowsIn(domain)));
}

void DirectMetrics::writeTree(Exposition &page, const DirectNode &node,
                              const HttpConnections &peers)
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    writeOne(page, "baobabtrail_followers", "gauge",
             "Daemons that copy the directory from this one.", number(node.relay().followers()));
    writeOne(page, "baobabtrail_sent_on_total", "counter",
             "Daemons redirected to others because all follower slots were taken.",
             number(node.relay().redirected()));
    writeOne(page, "baobabtrail_source_depth", "gauge",
             "Daemons between this one and the store; 0 while it watches the store itself.",
             number(node.peers().lineage().path.size()));
    writeOne(page, "baobabtrail_peer_connections", "gauge", "Open connections of other daemons.",
             number(peers.open));
    writeOne(page, "baobabtrail_peer_connections_most", "gauge",
             "Highest number of open connections of other daemons.", number(peers.peak));
    writeOne(page, "baobabtrail_peer_connections_once_total", "counter",
             "Connections closed after one answer because enough others were open.",
             number(peers.singleRequest));
    writeOne(page, "baobabtrail_peer_connections_postponed_total", "counter",
             "New connections that had to wait until another one was closed.",
             number(peers.postponed));
}

void DirectMetrics::writeOverload(Exposition &page, const DirectNode &node)
{
    const RequestGate &gate = node.router().gate();
    writeOne(page, "baobabtrail_requests_held", "gauge",
             "Requests that wait for a saturated target.", static_cast<double>(gate.held()));
    writeOne(page, "baobabtrail_held_bytes", "gauge", "Bytes of the held requests.",
             static_cast<double>(node.heldBytes()));
    page.family("baobabtrail_target_window", "gauge",
                "Requests that a saturated target may have at once; other targets have no sample.");
    std::size_t written = 0;
    for (const auto &[id, target] : node.router().targets().all()) {
        const TargetWindow *window = gate.window(id);
        if (!window || !window->limited() || ++written > MaxWindows)
            continue;
        page.sample({{"target", target.entry.name}}, window->size());
    }
}

void DirectMetrics::writeEvents(Exposition &page, std::uint64_t logLinesLeftOut) const
{
    page.family("baobabtrail_events_total", "counter", "Events of the daemon's parts.");
    const auto event = [&page](std::string_view name, std::uint64_t count) {
        page.sample({{"event", name}}, static_cast<double>(count));
    };
    event("packet_refused", packetsRefused);
    event("opening_expired", openingsExpired + packets.sendExpired);
    event("object_refused", objectsRefused);
    event("log_line_left_out", logLinesLeftOut);
    event("stood_still", processStalls);
    event("packet_delayed", packetsDelayed);
    event("peer_answered", peerQueriesAnswered);
    event("peer_failed", peerQueriesFailed);
    event("peer_served", peerQueriesServed);
    page.family("baobabtrail_probes_total", "counter",
                "Connection probes of targets that left a flow unanswered, by outcome.");
    for (std::size_t index = 0; index < ProbeOutcomeNames.size(); ++index)
        page.sample({{"outcome", ProbeOutcomeNames[index]}}, static_cast<double>(probes[index]));
}

void DirectMetrics::writeServices(Exposition &page) const
{
    page.family("baobabtrail_segments_total", "counter",
                "Segments received from callers, by decision.");
    for (const auto &[name, service] : m_services) {
        for (std::size_t index = 0; index < SegmentCauseNames.size(); ++index)
            page.sample({{"service", name}, {"decision", SegmentCauseNames[index]}},
                        static_cast<double>(service.causes[index]));
    }
    page.family("baobabtrail_flow_seconds", "histogram",
                "Times of flows as this daemon observes them.");
    for (const auto &[name, service] : m_services) {
        for (std::size_t index = 0; index < FlowTimeNames.size(); ++index)
            service.times[index].write(page, {{"service", name}, {"time", FlowTimeNames[index]}});
    }
}

void DirectMetrics::writePeerQueries(Exposition &page) const
{
    const auto write = [&](std::string_view name, std::string_view help, auto member) {
        page.family(name, "counter", help);
        for (std::size_t index = 0; index < QueryOutcomeNames.size(); ++index)
            page.sample({{"outcome", QueryOutcomeNames[index]}},
                        static_cast<double>((m_peerQueries.*member)[index]));
    };
    write("baobabtrail_peer_questions_total", "Queries to other daemons, by outcome.",
          &PeerQueries::outcomes);
    write("baobabtrail_peer_answer_bytes_total", "Bytes received in answers to them, by outcome.",
          &PeerQueries::bytes);
    writeOne(page, "baobabtrail_peer_served_bytes_total", "counter",
             "Bytes of answers to other daemons.", static_cast<double>(peerBytesServed));
    page.family("baobabtrail_peer_answer_seconds", "histogram",
                "Time to an answer that was applied, beyond the wait that the query allowed.");
    m_peerQueries.answerTimes.write(page, {});
}

void DirectMetrics::writeUsage(Exposition &page, const DirectNode &node) const
{
    const UsageExchange::Counts &counts = node.usage().counts();
    const auto counter
        = [&page](std::string_view name, std::string_view help, std::uint64_t value) {
              writeOne(page, name, "counter", help, static_cast<double>(value));
          };
    counter("baobabtrail_usage_reports_sent_total", "Usage reports sent to other daemons.",
            counts.sent);
    counter("baobabtrail_usage_reports_received_total", "Usage reports received and used.",
            counts.received);
    counter("baobabtrail_usage_reports_refused_total",
            "Usage reports that were malformed, old, repeated, not credible or from a daemon that "
            "has no part in the tree.",
            counts.refused + usageMalformed);
    counter("baobabtrail_usage_bytes_sent_total", "Bytes of the usage reports sent.",
            usage.bytesOut);
    const UsageView *view = node.usage().view();
    writeOne(page, "baobabtrail_usage_daemons", "gauge",
             "Daemons whose usage is part of the total; 0 while it is unknown.",
             view ? view->daemons : 0);
}

void DirectMetrics::writeEvidence(Exposition &page, const DirectNode &node)
{
    const EvidenceExchange::Counts &counts = node.evidence().counts();
    const auto counter
        = [&page](std::string_view name, std::string_view help, std::uint64_t value) {
              writeOne(page, name, "counter", help, static_cast<double>(value));
          };
    counter("baobabtrail_evidence_reports_made_total",
            "Reports of this daemon that a target is silent, or responds again.", counts.made);
    counter("baobabtrail_evidence_reports_received_total",
            "Reports of other daemons about targets that were news.", counts.received);
    counter("baobabtrail_evidence_reports_known_total",
            "Reports of other daemons that were known, out of date or not credible.", counts.known);
    counter("baobabtrail_evidence_reports_sent_total",
            "Reports about targets sent, summed over the daemons they were sent to.", counts.sent);
    counter("baobabtrail_evidence_messages_sent_total",
            "Datagrams with reports about targets sent.", counts.messages);
    writeOne(page, "baobabtrail_evidence_entries", "gauge",
             "Targets and failure domains with reports.",
             static_cast<double>(node.evidence().table().size()));
    counter("baobabtrail_targets_examined_total",
            "Targets looked at to place new flows, all openings together.",
            node.router().targets().examined());
}

void DirectMetrics::writeSocket(Exposition &page) const
{
    const auto counter
        = [&page](std::string_view name, std::string_view help, std::uint64_t value) {
              writeOne(page, name, "counter", help, static_cast<double>(value));
          };
    counter("baobabtrail_datagrams_received_total", "Datagrams read.", packets.datagramsIn);
    counter("baobabtrail_datagrams_sent_total", "Datagrams sent.", packets.datagramsOut);
    counter("baobabtrail_send_drops_total", "Datagrams dropped because the buffer was full.",
            packets.sendDrops);
    counter("baobabtrail_truncated_total", "Datagrams too long for the protocol.",
            packets.truncated);
}

} // namespace baobabtrail::daemon
