/// \file
/// \brief Requests on open flows that are held while their targets are saturated.

#include "core/direct/direct_router.h"

namespace baobabtrail {

namespace {

/// A first request that follows the handshake within this time is the one the flow was opened for.
constexpr Duration RequestFollowsWithin = 20ms;

} // namespace

RequestPolicy DirectRouter::promiseOf(const FlowKey &flow) const noexcept
{
    const Route *route = m_routes->find(flow.service);
    return route ? route->policy : RequestPolicy{};
}

bool DirectRouter::tryHold(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now)
{
    if (segment.length == 0 || segment.finishes || segment.aborts)
        return false;
    if (flow.held)
        return true;
    const std::uint32_t end = segment.sequence + segment.length;
    if (flow.requested || flow.state != FlowState::Open || !isLater(end, flow.end))
        return false;
    // A silent target gives no answer that would release a held request, and only forwarded
    // requests show that it is silent.
    if (m_targets.isSuspect(target) || target.goneAt)
        return false;
    // A caller that opened the flow for this request has waited since the opening; one that opened
    // it in advance has waited since the request.
    const bool openedForIt = !flow.hadRequest && now - flow.establishedAt <= RequestFollowsWithin;
    const TimePoint begunAt = openedForIt ? flow.openedAt - flow.waitedBefore : now;
    const HeldRequest request{segment.flow, promiseOf(segment.flow), begunAt, now};
    flow.held = m_gate.tryHold(target.entry.id, request);
    target.held += flow.held ? 1 : 0;
    flow.heldEnd = flow.end;
    return flow.held;
}

SegmentVerdict DirectRouter::hold(Flow &flow, const DirectTarget &target, const Segment &segment)
{
    const std::uint32_t end = segment.sequence + segment.length;
    if (!isLater(end, flow.heldEnd)) {
        decided(SegmentCause::Absorbed, segment, &target, flow.service);
        return DropSegment{};
    }
    flow.heldEnd = end;
    decided(SegmentCause::Held, segment, &target, flow.service);
    return HoldSegment{};
}

void DirectRouter::serveHeld(TimePoint now)
{
    m_usage.advance(now);
    for (const TargetId id : m_gate.targetsWithHeldRequests()) {
        DirectTarget *target = m_targets.find(id);
        const bool silent = !target || target->goneAt || m_targets.isSuspect(*target);
        while (silent) {
            const auto request = m_gate.takeAny(id, now);
            if (!request)
                break;
            forwardHeld(*request, now);
        }
        if (!silent)
            serveHeld(*target, now);
    }
}

void DirectRouter::serveHeld(DirectTarget &target, TimePoint now)
{
    while (const auto request = m_gate.takePastDeadline(target.entry.id, now))
        abandonHeld(*request);
    while (const auto request = m_gate.takeNext(target.entry.id, now))
        forwardHeld(*request, now);
}

void DirectRouter::stopHolding(TimePoint now)
{
    m_usage.advance(now);
    m_gate.stopHolding();
    for (const TargetId target : m_gate.targetsWithHeldRequests()) {
        while (const auto request = m_gate.takeAny(target, now))
            forwardHeld(*request, now);
    }
}

void DirectRouter::cancelHold(const FlowKey &key, TimePoint now)
{
    m_usage.advance(now);
    const auto known = m_flows.find(key);
    if (known == m_flows.end() || !m_gate.erase(known->second.target, key))
        return;
    forwardHeld({key, {}, now, now}, now);
}

void DirectRouter::forwardHeld(const HeldRequest &request, TimePoint now)
{
    const auto known = m_flows.find(request.flow);
    if (known == m_flows.end())
        return;
    Flow &flow = known->second;
    clearHeld(flow);
    flow.lastByteAt = now;
    m_heldOutcomes.push_back({request.flow, true});
    DirectTarget *target = targetOf(flow);
    if (!target)
        return;
    beginWork(request.flow, flow, *target, !flow.hadRequest);
    flow.requested = true;
    flow.hadRequest = true;
    flow.sentAt = now;
    ++target->inFlight;
    m_gate.sent(target->entry.id, now);
    Segment segment;
    segment.flow = request.flow;
    measured(FlowTime::Held, now - request.heldAt, Duration{0}, segment, flow, *target);
}

void DirectRouter::abandonHeld(const HeldRequest &request)
{
    const auto known = m_flows.find(request.flow);
    if (known == m_flows.end())
        return;
    clearHeld(known->second);
    m_heldOutcomes.push_back({request.flow, false});
    Segment segment;
    segment.flow = request.flow;
    decided(SegmentCause::Abandoned, segment, targetOf(known->second), known->second.service);
}

void DirectRouter::clearHeld(Flow &flow)
{
    flow.held = false;
    if (DirectTarget *target = targetOf(flow))
        target->held -= target->held > 0 ? 1 : 0;
}

void DirectRouter::dropHeld(const FlowKey &key, Flow &flow)
{
    if (!flow.held)
        return;
    clearHeld(flow);
    m_gate.erase(flow.target, key);
    m_heldOutcomes.push_back({key, false});
}

void DirectRouter::updateWindow(const Flow &flow, const DirectTarget &target, Duration took,
                                const Segment &segment, TimePoint now)
{
    const TargetWindow *window = m_gate.window(target.entry.id);
    if (!window)
        return;
    const bool before = window->limited();
    m_gate.answered(target.entry.id, took, promiseOf(segment.flow).latency, now);
    if (window->limited() == before || !m_observer.saturated)
        return;
    m_observer.saturated(
        {target, window->limited(), window->size(), window->meanAnswerTime(), flow.service});
}

// A segment that acknowledges an answer or ends a flow may make room at the target.
void DirectRouter::serveHeldAfter(const Segment &segment, TimePoint now)
{
    const auto known = m_flows.find(segment.flow);
    if (known == m_flows.end())
        return;
    if (DirectTarget *target = targetOf(known->second))
        serveHeld(*target, now);
}

} // namespace baobabtrail
