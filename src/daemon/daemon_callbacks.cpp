// Callbacks that connect the cores and the administration API with the daemon's components.

#include "daemon/admin/domain_status.h"
#include "daemon/clock.h"
#include "daemon/daemon.h"
#include "wire/token_text.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace baobabtrail::daemon {

namespace {

[[nodiscard]] double imbalanceOf(const std::vector<TargetStatus> &targets)
{
    double highest = 0;
    double sum = 0;
    for (const TargetStatus &target : targets) {
        const double held = target.running + target.waiting;
        highest = std::max(highest, held);
        sum += held;
    }
    return sum > 0 ? highest * static_cast<double>(targets.size()) / sum : 0;
}

[[nodiscard]] std::size_t aliveIn(const View &view)
{
    return static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), [](const Member &member) {
            return member.state == MemberState::Alive || member.state == MemberState::Suspect;
        }));
}

} // namespace

// Datagrams are dropped while a socket restarts; the cores handle that like loss in the network.

TrafficCallbacks Daemon::trafficCallbacks()
{
    const auto sendBy = [](std::unique_ptr<UdpSocket> &socket) {
        return [&socket](const Endpoint &to, std::string bytes) {
            if (socket)
                socket->send(to, std::move(bytes));
        };
    };
    TrafficCallbacks callbacks;
    callbacks.toCaller = sendBy(m_dataSocket);
    callbacks.toPeer = sendBy(m_peerSocket);
    callbacks.toTarget = sendBy(m_peerSocket);
    callbacks.openLink = [this](const OpenLink &action) {
        if (m_links)
            m_links->open(action);
    };
    callbacks.closeLink = [this](const CloseLink &action) {
        if (m_links)
            m_links->close(action);
    };
    callbacks.sendOnLink = [this](const SendOnLink &action) {
        if (m_links)
            m_links->send(action);
    };
    callbacks.propose = [this](const ProposeCommand &action) { propose(action); };
    callbacks.notice = [this](const Notice &notice) { report(notice); };
    callbacks.observe = [this](const Observation &seen) { m_metrics.workspaces().observe(seen); };
    callbacks.stopped = [this] { trafficStopped(); };
    return callbacks;
}

ControlCallbacks Daemon::controlCallbacks()
{
    ControlCallbacks callbacks;
    callbacks.toPeer = [this](const Endpoint &to, std::string bytes) {
        if (m_peerSocket)
            m_peerSocket->send(to, std::move(bytes));
    };
    callbacks.fetch
        = [this](const Endpoint &peer, const std::string &request, ControlCallbacks::Answer done) {
              if (!m_recordsClient) {
                  boost::asio::post(m_context, [done = std::move(done)] { done(std::nullopt); });
                  return;
              }
              m_recordsClient->fetch(
                  peer, request, [this, done = std::move(done)](std::optional<std::string> answer) {
                      Counters &counters = m_metrics.counters();
                      ++(answer ? counters.fetchesAnswered : counters.fetchesFailed);
                      done(std::move(answer));
                  });
          };
    callbacks.platform
        = [this](const PlatformRequest &request, std::function<void(PlatformResult)> done) {
              callPlatform(request, std::move(done));
          };
    callbacks.publishConfig = [this](const ConfigPtr &config) { publish(config); };
    callbacks.publishView = [this](const ViewPtr &view) {
        if (m_traffic)
            m_traffic->handle(ViewChanged{view});
    };
    callbacks.notice = [this](const Notice &notice) { report(notice); };
    return callbacks;
}

language::Backend Daemon::backend()
{
    language::Backend result;
    result.config = [this] { return m_config; };
    result.view = [this] { return m_control->node().view(); };
    result.listed = [this] { return m_control->node().listed(); };
    result.recentChanges = [this] { return m_control->node().recentChanges(); };
    result.targetStatus = [this] { return m_traffic->node().targetStatus(monotonicNow()); };
    result.propose = [this](Propose proposal, std::function<void(ProposalOutcome)> done) {
        m_control->propose(std::move(proposal), std::move(done));
    };
    result.domainStatus = [this](std::function<void(std::vector<DomainStatus>)> done) {
        const auto fetch = [this](const Endpoint &records,
                                  std::function<void(std::optional<DomainStatus>)> answered) {
            m_control->fetchStatus(records, std::move(answered));
        };
        collectDomainStatus(m_control->node().status(monotonicNow()), *m_control->node().view(),
                            fetch, std::move(done));
    };
    result.metrics = [this] { return m_metrics.page(gauges()); };
    result.after = [this](Duration delay, std::function<void()> call) {
        runtime().after(delay, std::move(call));
    };
    result.readFlowToken = [](const std::string &bytes) { return wire::decodeFlowToken(bytes); };
    result.readReservation
        = [](const std::string &bytes) { return wire::decodeReservation(bytes); };
    result.checkFlowToken
        = [this](FlowId flow, const FlowToken &token) { return m_keys->checkFlow(flow, token); };
    result.checkReservation = [this](const RequestId &request, const ReservationToken &token) {
        return m_keys->checkReservation(request, token);
    };
    result.unixSeconds = [] { return wallNow().time_since_epoch().count(); };
    return result;
}

Gauges Daemon::gauges() const
{
    Gauges gauges;
    const DomainStatus status = m_control->node().status(monotonicNow());
    const TrafficNode::Counts counts = m_traffic->node().counts();
    gauges.revision = status.revision.value();
    gauges.configAgeSeconds = std::chrono::duration<double>(status.configAge).count();
    gauges.requests = counts.requests;
    gauges.pendingOpens = counts.pendingOpens;
    gauges.ownedTargets = counts.ownedTargets;
    gauges.runningAttempts = counts.runningAttempts;
    gauges.membersAlive = aliveIn(*m_control->node().view());
    gauges.links = m_links ? m_links->size() : 0;
    gauges.ownedImbalance = imbalanceOf(m_traffic->node().targetStatus(monotonicNow()));
    return gauges;
}

} // namespace baobabtrail::daemon
