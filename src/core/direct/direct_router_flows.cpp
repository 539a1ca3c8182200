/// \file
/// \brief What the segments of a flow tell of the flow and of its target.

#include "core/direct/direct_router.h"

namespace baobabtrail {

void DirectRouter::acknowledged(Flow &flow, DirectTarget &target, const Segment &segment,
                                TimePoint now)
{
    flow.seenAt = now;
    if (flow.state == FlowState::Opening) {
        opened(flow, target, segment, now);
        flow.received = segment.acknowledged;
    }
    if (!isLater(segment.acknowledged, flow.received))
        return;
    flow.received = segment.acknowledged;
    heard(flow, target, now);
    if (!flow.requested)
        return;
    // Bytes in between went through another daemon, or what this daemon forwards late had been
    // answered before: it is unknown when the request was sent that this acknowledges. Measured as
    // an answer that took seconds, it made a target look saturated.
    if (isLater(segment.sequence, flow.end) || segment.receivedAt.value_or(now) < flow.lastByteAt)
        endRequest(flow, target);
    else
        answered(flow, target, segment, now);
}

void DirectRouter::sent(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now)
{
    const std::uint32_t end = segment.sequence + segment.length;
    if (segment.length > 0 && isLater(end, flow.end)) {
        flow.end = end;
        flow.lastByteAt = now;
        if (!flow.requested && flow.state == FlowState::Open) {
            beginWork(segment.flow, flow, target, !flow.hadRequest);
            flow.requested = true;
            flow.hadRequest = true;
            flow.sentAt = now;
            ++target.inFlight;
            m_gate.sent(target.entry.id, now);
        }
    } else if (segment.length > 0
               && segment.receivedAt.value_or(now) - flow.lastByteAt >= MinRetransmitDelay) {
        unanswered(flow, target, now);
    }
    if ((segment.finishes || segment.aborts) && flow.state != FlowState::Closing) {
        release(segment.flow, flow);
        flow.requested = false;
        flow.state = FlowState::Closing;
    }
}

void DirectRouter::answered(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now)
{
    const Duration took = segment.receivedAt.value_or(now) - flow.lastByteAt;
    const Duration average{static_cast<Duration::rep>(target.answerMicros)};
    m_targets.answered(target, took, now);
    updateWindow(flow, target, took, segment, now);
    measured(FlowTime::Answer, took, average, segment, flow, target);
    if (flow.work)
        m_usage.answered(*flow.work, took);
    endRequest(flow, target);
}

void DirectRouter::measured(FlowTime time, Duration took, Duration average, const Segment &segment,
                            const Flow &flow, const DirectTarget &target) const
{
    if (m_observer.measured)
        m_observer.measured({time, took, average, segment, target, flow.service});
}

void DirectRouter::opened(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now)
{
    flow.state = FlowState::Open;
    flow.establishedAt = now;
    target.opening -= target.opening > 0 ? 1 : 0;
    endWork(flow);
    ++target.openFlows;
    heard(flow, target, now);
    measured(FlowTime::Open, now - flow.openedAt, Duration{0}, segment, flow, target);
}

void DirectRouter::heard(Flow &flow, DirectTarget &target, TimePoint now)
{
    flow.retransmits = 0;
    m_respondedAt = now;
    if (!m_targets.heard(target, now))
        return;
    if (m_observer.stateChanged)
        m_observer.stateChanged({target, m_targets.state(target)});
    observed(target.entry.id, TargetSign::Alive);
}

void DirectRouter::unanswered(Flow &flow, DirectTarget &target, TimePoint now)
{
    // A flow counts as evidence once, however often its caller retransmits.
    if (flow.retransmits < UINT8_MAX)
        ++flow.retransmits;
    if (flow.retransmits > 1)
        return;
    // A silent target is no busy one: with its unanswered requests the targets that are left would
    // look full for seconds.
    endWork(flow);
    if (m_targets.unanswered(target, now) && m_observer.stateChanged)
        m_observer.stateChanged({target, m_targets.state(target)});
    requestProbe(target);
}

void DirectRouter::endRequest(Flow &flow, DirectTarget &target)
{
    if (!flow.requested)
        return;
    flow.requested = false;
    endWork(flow);
    target.inFlight -= target.inFlight > 0 ? 1 : 0;
    m_gate.ended(target.entry.id, flow.sentAt);
}

void DirectRouter::release(const FlowKey &key, Flow &flow)
{
    dropHeld(key, flow);
    endWork(flow);
    DirectTarget *target = targetOf(flow);
    if (!target)
        return;
    if (flow.state == FlowState::Opening)
        target->opening -= target->opening > 0 ? 1 : 0;
    if (flow.state == FlowState::Open)
        target->openFlows -= target->openFlows > 0 ? 1 : 0;
    endRequest(flow, *target);
}

} // namespace baobabtrail
