/// \file
/// \brief How the node of a DirectDaemon reaches the store, other daemons, targets, logs and
/// metrics.

#include "daemon/clock.h"
#include "daemon/direct/direct_daemon.h"
#include "daemon/direct/peer_http.h"
#include "net/try_connection.h"
#include "platform/registry_form.h"
#include "wire/evidence_form.h"

namespace baobabtrail::daemon {

namespace {

/// Delay of a call that finds its client being restarted.
constexpr Duration ClientRetryDelay = 100ms;
/// A live machine accepts a connection within milliseconds, however busy its processes are.
constexpr Duration ProbeTimeout = 250ms;

} // namespace

DirectCallbacks DirectDaemon::callbacks()
{
    DirectCallbacks callbacks;
    callbacks.feed.now = [] { return monotonicNow(); };
    callbacks.feed.after = runtime().after;
    callbacks.feed.call
        = [this](const PlatformRequest &request, std::function<void(PlatformResult)> done) {
              callStore(request, std::move(done));
          };
    callbacks.peers.now = callbacks.feed.now;
    callbacks.peers.after = callbacks.feed.after;
    callbacks.peers.ask
        = [this](const Endpoint &peer, const PeerQuery &query, const QueryTimeouts &timeouts,
                 std::function<void(PeerResult)> done) {
              queryPeer(peer, query, timeouts, std::move(done));
          };
    callbacks.reader = platform::directoryReader();
    callbacks.observer.decided = [this](const SegmentDecision &decision) {
        m_metrics.openingsExpired += decision.cause == SegmentCause::Expired;
        m_metrics.decided(decision, m_node->router().routes());
        m_log.write(decision, *m_node, monotonicNow());
    };
    callbacks.observer.stateChanged
        = [this](const TargetStateChange &change) { m_log.write(change, *m_node, monotonicNow()); };
    callbacks.observer.saturated
        = [this](const SaturationChange &change) { m_log.write(change, *m_node, monotonicNow()); };
    callbacks.observer.planChanged = [this](const PlanChange &change) {
        m_metrics.planChanged(change, m_node->router().routes());
        m_log.write(change, *m_node, monotonicNow());
    };
    callbacks.observer.measured = [this](const FlowMeasurement &measured) {
        m_metrics.measured(measured, m_node->router().routes());
        m_log.write(measured, *m_node, monotonicNow());
    };
    callbacks.onNotice = [this](const NodeNotice &notice) {
        m_metrics.objectsRefused += std::holds_alternative<ObjectRefused>(notice);
        m_metrics.processStalls += std::holds_alternative<ProcessStalled>(notice);
        if (const auto *queryEnded = std::get_if<PeerQueryEnded>(&notice))
            m_metrics.queryEnded(*queryEnded);
        m_log.write(notice, monotonicNow());
    };
    callbacks.probe = [this](const Endpoint &target, std::function<void(ProbeOutcome)> done) {
        probeTarget(target, std::move(done));
    };
    callbacks.ready = [this] { m_log.ready(*m_node); };
    if (!m_settings.addresses.usage.isNull()) {
        callbacks.sendUsage
            = [this](const Endpoint &to, const UsageMessage &report) { sendUsage(to, report); };
        callbacks.sendEvidence = [this](const Endpoint &to, const EvidenceMessage &message) {
            if (m_usage)
                m_usage->send(to, wire::encodeEvidence(message));
        };
        callbacks.usageAddressOf
            = [this](const Endpoint &peer) { return m_settings.addresses.usageAddressOf(peer); };
    }
    callbacks.applyVerdict
        = [this](const Segment &segment, const std::string &payload,
                 const SegmentVerdict &verdict) { applyVerdict(segment, payload, verdict); };
    return callbacks;
}

void DirectDaemon::callStore(const PlatformRequest &request,
                             std::function<void(PlatformResult)> done)
{
    if (!m_store) {
        // The client is being restarted: the supervisor starts its children one after the other.
        runtime().after(ClientRetryDelay, [this, request, done = std::move(done)]() mutable {
            callStore(request, std::move(done));
        });
        return;
    }
    m_store->call(request,
                  [this, kind = request.index(), done = std::move(done)](PlatformResult result) {
                      ++m_metrics.storeCalls[kind][result.index()];
                      done(std::move(result));
                  });
}

void DirectDaemon::queryPeer(const Endpoint &peer, const PeerQuery &query,
                             const QueryTimeouts &timeouts, std::function<void(PeerResult)> done)
{
    if (!m_peers) {
        runtime().after(ClientRetryDelay, [done = std::move(done)] {
            done({{}, 0, "the HTTP client is being restarted"});
        });
        return;
    }
    HttpCall call = peerCall(peer, query, timeouts);
    m_peers->call(std::move(call), [this, done = std::move(done)](const HttpResult &result) {
        PeerResult read = peerResult(result);
        ++(read.reply ? m_metrics.peerQueriesAnswered : m_metrics.peerQueriesFailed);
        done(std::move(read));
    });
}

void DirectDaemon::probeTarget(const Endpoint &target, std::function<void(ProbeOutcome)> done)
{
    tryConnection(m_context, target, ProbeTimeout, [this, done = std::move(done)](Connected end) {
        ++m_metrics.probes[static_cast<std::size_t>(end)];
        switch (end) {
        case Connected::Yes:
            return done(ProbeOutcome::Alive);
        case Connected::Refused:
            return done(ProbeOutcome::Refused);
        case Connected::No:
            return done(ProbeOutcome::TimedOut);
        case Connected::Unsure:
            return done(ProbeOutcome::Inconclusive);
        }
    });
}

void DirectDaemon::answerPeer(const HttpRequest &request, const HttpServer::Respond &respond)
{
    const auto query = parsePeerQuery(request);
    if (!query || !m_node) {
        respond({400, "text/plain", "not a valid query of the directory\n"});
        return;
    }
    m_node->handle(*query, [this, request, respond](const PeerReply &reply) {
        HttpReply answer = peerResponse(request, reply);
        ++m_metrics.peerQueriesServed;
        m_metrics.peerBytesServed += answer.body.size();
        respond(std::move(answer));
    });
}

} // namespace baobabtrail::daemon
