#pragma once

#include "matrix/cell.h"

namespace baobabtrail::fake {

inline std::vector<std::string> Cell::run()
{
    m_net.onAction
        = [this](std::size_t daemon, const TrafficAction &a) { observeAction(daemon, a); };
    m_net.onTargetReply = [this](TargetId target, const LinkMessage &message) {
        const AttemptDone *done = std::get_if<AttemptDone>(&message);
        if (done && done->attempt == m_focalAttempt)
            reachStep(Step::Answer, m_focalDaemon, target);
    };
    m_net.loseToCaller = [this](const CallerMessage &message) {
        const RequestMessage *request = std::get_if<RequestMessage>(&message);
        const Answer *answer = request ? std::get_if<Answer>(request) : nullptr;
        if (!answer || answer->request != m_focalRequest)
            return false;
        const bool wanted
            = std::any_of(m_injections.begin(), m_injections.end(),
                          [](const FaultInjection &s) { return s.step == Step::Retransmission; });
        if (!wanted || m_reached.contains(Step::Retransmission))
            return false;
        m_net.time.after(1ms,
                         [this] { reachStep(Step::Retransmission, m_focalDaemon, std::nullopt); });
        return true;
    };
    setUpServices();
    startCallers();
    m_net.time.runUntil(m_net.time.now() + 20s);
    checkInjections();
    checkRequests();
    checkFlows();
    checkPlannedChanges();
    return m_net.violations;
}

inline bool Cell::injected(std::initializer_list<Fault> faults) const
{
    return std::any_of(m_injections.begin(), m_injections.end(), [&](const FaultInjection &s) {
        return std::find(faults.begin(), faults.end(), s.fault) != faults.end();
    });
}

// A cell whose fault was never injected tests nothing. In a pair, the first fault may prevent the
// step of the second one from being reached.
inline void Cell::checkInjections()
{
    for (const FaultInjection &s : m_injections) {
        if (m_injections.size() == 1 && !m_reached.contains(s.step))
            addViolation("step ", StepNames.at(static_cast<std::size_t>(s.step)),
                         " was not reached");
    }
}

// The owner's deadline starts when the Reserve arrives there: at most four hops from the caller,
// through the entry and two forwards. The outcome takes one more hop.
inline Duration Cell::maxPathDelay() const
{
    constexpr int Hops = 5;
    Duration hop{600us};
    if (injected({Fault::Duplicate}))
        hop = 6ms;
    if (injected({Fault::Reorder}))
        hop = 31ms;
    return Hops * hop + 2ms;
}

inline void Cell::checkRequests()
{
    for (const auto &[caller, request] : m_net.requests)
        checkRequest(*request);
}

inline void Cell::checkRequest(const FakeRequest &request)
{
    const RequestId id = request.reserve.request;
    int runs = 0;
    for (const auto &[target, fake] : m_net.targets) {
        const auto found = fake->runs.find(id);
        runs += found == fake->runs.end() ? 0 : found->second;
    }
    if (!request.reserve.idempotent && runs > 1)
        addViolation("request ", id, " ran ", runs, " times");
    if (request.ending == Ending::NotRun && runs > 0)
        addViolation("request ", id, " was refused as not run and ran");
    if (request.ending == Ending::Answered && runs == 0)
        addViolation("request ", id, " was answered and never ran");
    if (request.ending == Ending::Answered && request.answer != "done " + request.payload())
        addViolation("request ", id, " got a wrong or incomplete answer");
    if (request.ending == Ending::Open)
        addViolation("request ", id, " has no outcome");

    const bool mayBeUnknown = injected({Fault::DaemonKill, Fault::DaemonRestart,
                                        Fault::DaemonFreeze, Fault::Cut, Fault::Loss, Fault::Delay,
                                        Fault::TargetCrash, Fault::TargetHang, Fault::TargetCold});
    if (request.ending == Ending::Unknown && !mayBeUnknown)
        addViolation("request ", id, " ended as unknown, cause ", static_cast<int>(request.unknown),
                     ", ", (request.deadline - request.endedAt).count(), " us before its deadline");
    const bool mayBeSilent = injected({Fault::DaemonKill, Fault::DaemonFreeze, Fault::Cut,
                                       Fault::Loss, Fault::Delay, Fault::DaemonRestart});
    if (mayBeSilent)
        return;
    if (request.ending == Ending::Silent)
        addViolation("request ", id, " got no outcome at its deadline");
    else if (request.endedAt > request.deadline + maxPathDelay())
        addViolation("request ", id, " got its outcome ",
                     (request.endedAt - request.deadline).count(), " us after its deadline");
}

inline void Cell::checkFlows()
{
    const bool mayBreak
        = injected({Fault::TargetCrash, Fault::TargetHang, Fault::Cut, Fault::Loss});
    const TimePoint now = m_net.time.now();
    for (const auto &[caller, flow] : m_net.flows) {
        const bool silent = injected({Fault::SilentFlow}) && flow->flow.value() % 1000 == 999;
        if (!flow->resets.empty() && !mayBreak && !silent)
            addViolation("flow ", flow->flow, " was reset, cause ",
                         static_cast<int>(flow->resets.front()));
        if (!flow->token || now - flow->lastEcho > 2s)
            addViolation("flow ", flow->flow, " does not work at the end");
        if (flow->strangeEchoes > 0)
            addViolation("flow ", flow->flow, " got data that is not its own");
    }
    for (const auto &[id, target] : m_net.targets) {
        for (const std::string &stranger : target->misdirected)
            addViolation("target ", target->config.name, " got another service's ", stranger);
    }
}

inline void Cell::checkPlannedChanges()
{
    const TargetId drained = m_drained;
    const TimePoint last = m_net.targets.at(drained)->lastNewWork;
    const Duration published = injected({Fault::Revisions}) ? 3s : 1s;
    const bool late = injected({Fault::DaemonFreeze});
    if (!late && last > m_drainedAt + published + 3s)
        addViolation("the draining target got new work ", (last - m_drainedAt).count(),
                     " us after the drain");
    const FakeNetwork::Daemon &stopping = m_net.daemons[StoppingDaemon];
    const bool mayNotStop
        = injected({Fault::DaemonKill, Fault::DaemonRestart, Fault::DaemonFreeze});
    if (!mayNotStop && !stopping.stoppedAt)
        addViolation("the stopping daemon has not stopped");
    for (const FakeNetwork::Daemon &daemon : m_net.daemons) {
        if (daemon.alive && daemon.node->counts().runningAttempts > 0)
            addViolation("daemon ", daemon.identity.daemon, " still counts running attempts");
    }
}

} // namespace baobabtrail::fake
