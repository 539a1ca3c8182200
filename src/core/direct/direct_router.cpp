#include "core/direct/direct_router.h"

#include "core/direct/opening_copies.h"
#include "core/impl/hash.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Bound on the removed routes that are retained, to reset their open flows at once.
constexpr std::size_t MaxRemovedRoutes = 4096;
/// A flow that both ends have closed is retained for this long, for retransmitted segments.
constexpr Duration ClosingLinger = 2s;
/// A request without an answer stops counting as load after this long where its route names no
/// timeout: its caller no longer waits.
constexpr Duration MaxRequestTime = 10s;

} // namespace

DirectRouter::DirectRouter(std::string domain, DirectSettings settings, Random &random,
                           DirectObserver observer)
    : m_settings(settings)
    , m_random(random)
    , m_observer(std::move(observer))
    , m_targets(domain, settings)
    , m_gate(settings.overload)
    , m_usage(domain)
    , m_planner(std::move(domain), settings.placement)
{
}

void DirectRouter::setRoutes(RouteTablePtr routes)
{
    for (const auto &[address, route] : m_routes->routes) {
        const bool removed = !routes->find(address);
        if (removed && m_removedRoutes.size() < MaxRemovedRoutes)
            m_removedRoutes.emplace(address, route.shares.front().service);
    }
    std::erase_if(m_removedRoutes, [&](const auto &item) { return routes->find(item.first); });
    m_routes = std::move(routes);
    m_targets.setColdLimits(m_routes->warmUpLimits);
}

bool DirectRouter::putTarget(const RegisteredTarget &target, TimePoint now)
{
    const DirectTarget *known = m_targets.find(target.id);
    const auto before = known ? std::optional{m_targets.state(*known)} : std::nullopt;
    const bool restarted = m_targets.put(target, now);
    if (restarted)
        m_gate.erase(target.id);
    const DirectTarget &current = *m_targets.find(target.id);
    const DirectTargetState after = m_targets.state(current);
    if ((restarted || before != after) && m_observer.stateChanged)
        m_observer.stateChanged({current, after, restarted});
    return restarted;
}

void DirectRouter::refuseTarget(TargetId target)
{
    const DirectTarget *known = m_targets.find(target);
    if (!known || known->refused)
        return;
    m_targets.refuse(target);
    if (m_observer.stateChanged)
        m_observer.stateChanged({*known, m_targets.state(*known)});
}

bool DirectRouter::setEvacuated(const std::string &domain, bool evacuated, TimePoint now)
{
    return m_targets.setEvacuated(domain, evacuated, now);
}

/// \return The target of the flow; null where it is gone or has restarted since.
DirectTarget *DirectRouter::targetOf(const Flow &flow)
{
    DirectTarget *target = m_targets.find(flow.target);
    return target && target->incarnation == flow.incarnation ? target : nullptr;
}

void DirectRouter::removeTarget(TargetId target, bool lapsed, TimePoint now)
{
    m_targets.remove(target, lapsed, now);
    const DirectTarget *known = m_targets.find(target);
    if (known && m_observer.stateChanged)
        m_observer.stateChanged({*known, m_targets.state(*known)});
}

void DirectRouter::decided(SegmentCause cause, const Segment &segment, const DirectTarget *target,
                           ServiceId service) const
{
    if (m_observer.decided)
        m_observer.decided({cause, segment, target, service});
}

SegmentVerdict DirectRouter::route(const Segment &segment, TimePoint now)
{
    m_usage.advance(now);
    const SegmentVerdict verdict = segment.opens ? open(segment, now) : forward(segment, now);
    if (m_gate.held() > 0)
        serveHeldAfter(segment, now);
    return verdict;
}

ServiceId DirectRouter::serviceOf(const Route &route, const FlowKey &flow) const noexcept
{
    std::uint64_t sum = 0;
    for (const RouteShare &share : route.shares)
        sum += share.weight;
    if (route.shares.size() == 1 || sum == 0)
        return route.shares.front().service;
    // By a hash of the flow, not at random: a retransmitted opening has to get the same service.
    std::uint64_t drawn = impl::hashPair(hash_value(flow), 0) % sum;
    for (const RouteShare &share : route.shares) {
        if (drawn < share.weight)
            return share.service;
        drawn -= share.weight;
    }
    return route.shares.back().service;
}

SegmentVerdict DirectRouter::refuse(const Segment &segment, SegmentCause cause, ServiceId service)
{
    decided(cause, segment, nullptr, service);
    // A directory that may be out of date is no ground for a reset, which ends the caller's
    // attempt: the address may be new, and the missing target may just have registered.
    if (!m_fresh)
        return DropSegment{};
    return AbortFlow{segment.acknowledged};
}

SegmentVerdict DirectRouter::open(const Segment &segment, TimePoint now)
{
    const Route *route = m_routes->find(segment.flow.service);
    const ServiceId service = route ? serviceOf(*route, segment.flow) : ServiceId{};
    // Dropped, not refused: a reset might end the flow that a later copy has opened.
    if (placeableUntil(segment).value_or(now) < now) {
        decided(SegmentCause::Expired, segment, nullptr, service);
        return DropSegment{};
    }
    if (!route)
        return refuse(segment, m_fresh ? SegmentCause::NoRoute : SegmentCause::StaleView, {});
    const auto known = m_flows.find(segment.flow);
    const std::uint32_t priority = route->policy.priority;
    TargetId except;
    if (known != m_flows.end() && known->second.service == service) {
        Flow &flow = known->second;
        flow.seenAt = now;
        DirectTarget *before = targetOf(flow);
        if (before) {
            // A retransmission that was delayed here together with the original is no sign of a
            // silent target, which had no time to answer.
            if (flow.state == FlowState::Opening && now - flow.openedAt >= MinRetransmitDelay)
                unanswered(flow, *before, now);
            // A second target that also answers would confuse the caller. The flow therefore moves
            // only if its target is known to be silent or leaving.
            const DirectTargetState state = m_targets.state(*before);
            const bool moves = m_settings.mechanisms.has(Mechanism::MovedOpenings)
                               || state == DirectTargetState::Evacuated;
            if (state == DirectTargetState::Healthy || !moves)
                return deliver(*before, segment, service, SegmentCause::OpeningRetransmitted);
            except = flow.target;
        }
        release(known->first, flow);
        m_flows.erase(known);
    }
    DirectTarget *target = m_targets.choose({service, priority, except}, now, m_random);
    if (!target && !except.isNull())
        target = m_targets.choose({service, priority}, now, m_random);
    if (!target)
        return refuse(segment, SegmentCause::NoTarget, service);
    const bool moved = !except.isNull() && target->entry.id != except;
    return placeAt(*target, segment, service, moved ? SegmentCause::Moved : SegmentCause::Placed,
                   now);
}

SegmentVerdict DirectRouter::placeAt(DirectTarget &target, const Segment &segment,
                                     ServiceId service, SegmentCause cause, TimePoint now)
{
    if (m_flows.size() < m_settings.maxFlows) {
        Flow &flow = m_flows[segment.flow];
        flow.target = target.entry.id;
        flow.incarnation = target.incarnation;
        flow.service = service;
        flow.end = segment.sequence + 1;
        flow.waitedBefore = openingSentAfter(segment.retransmits);
        flow.openedAt = now;
        flow.seenAt = now;
        ++target.opening;
        beginWork(segment.flow, flow, target, true);
        m_openings.push_back({segment.flow, now});
    }
    return deliver(target, segment, service, cause);
}

SegmentVerdict DirectRouter::deliver(const DirectTarget &target, const Segment &segment,
                                     ServiceId service, SegmentCause cause)
{
    decided(cause, segment, &target, service);
    // A label that leads to the target stays, also where another daemon chose another one for it.
    const DirectTarget *named = segment.opens ? nullptr : m_targets.find(segment.label);
    const FlowLabel label = named == &target
                                ? segment.label
                                : m_targets.labelOf(target.entry.id).value_or(segment.label);
    return DeliverSegment{target.entry.id, target.entry.address, label};
}

SegmentVerdict DirectRouter::forward(const Segment &segment, TimePoint now)
{
    const auto removed = m_removedRoutes.find(segment.flow.service);
    if (removed != m_removedRoutes.end()) {
        decided(SegmentCause::RouteRemoved, segment, nullptr, removed->second);
        if (const auto known = m_flows.find(segment.flow); known != m_flows.end()) {
            release(known->first, known->second);
            m_flows.erase(known);
        }
        return AbortFlow{segment.acknowledged};
    }

    auto known = m_flows.find(segment.flow);
    DirectTarget *named = m_targets.find(segment.label);
    if (known != m_flows.end()) {
        Flow &flow = known->second;
        // Where two targets have answered the opening, the next segment names the one that the
        // caller accepted, and the flow stays there. A later answer of the other one would replace
        // the label that the caller echoes, and the flow's own target would get no more segments.
        if (flow.state == FlowState::Opening && named && named->entry.id != flow.target) {
            release(known->first, flow);
            flow.target = named->entry.id;
            flow.incarnation = named->incarnation;
            ++named->opening;
            beginWork(segment.flow, flow, *named, true);
        }
        if (DirectTarget *target = targetOf(flow)) {
            acknowledged(flow, *target, segment, now);
            if (tryHold(flow, *target, segment, now))
                return hold(flow, *target, segment);
            sent(flow, *target, segment, now);
            const bool lost = target->goneAt || m_targets.isUnreachable(*target);
            if (lost && flow.retransmits > 0 && segment.waited(now) < MinRetransmitDelay) {
                // The target is gone or unreachable, and acknowledges nothing: the caller would
                // wait until its timeout. A reset lets it retry at once. A segment that waited is
                // no ground for it: the answer may have come since.
                decided(SegmentCause::TargetGone, segment, target, flow.service);
                release(known->first, flow);
                m_flows.erase(known);
                return AbortFlow{segment.acknowledged};
            }
            return deliver(*target, segment, flow.service,
                           flow.retransmits > 0 && segment.length > 0 ? SegmentCause::Retransmitted
                                                                      : SegmentCause::Forwarded);
        }
        if (DirectTarget *restarted = m_targets.find(flow.target)) {
            // The flow was lost when the target restarted, and the new process resets it itself. It
            // is no load there, and its segments are no evidence of the target's health.
            dropHeld(known->first, flow);
            endWork(flow);
            flow.state = FlowState::Closing;
            flow.seenAt = now;
            return deliver(*restarted, segment, flow.service, SegmentCause::Forwarded);
        }
        release(known->first, flow);
        m_flows.erase(known);
    }
    if (!named) {
        decided(SegmentCause::UnknownLabel, segment, nullptr, {});
        return DropSegment{};
    }
    if (m_flows.size() < m_settings.maxFlows) {
        Flow &flow = m_flows[segment.flow];
        flow.target = named->entry.id;
        flow.incarnation = named->incarnation;
        flow.service = named->entry.service;
        flow.state = FlowState::Open;
        flow.end = segment.sequence;
        flow.received = segment.acknowledged;
        flow.openedAt = now;
        ++named->openFlows;
        flow.hadRequest = true; // This daemon didn't see the flow open; assume so.
        acknowledged(flow, *named, segment, now);
        if (tryHold(flow, *named, segment, now))
            return hold(flow, *named, segment);
        sent(flow, *named, segment, now);
    }
    return deliver(*named, segment, named->entry.service, SegmentCause::Forwarded);
}

void DirectRouter::expire(TimePoint now, const StoreStatus &store)
{
    m_usage.advance(now);
    endStaleOpenings(now);
    const Duration idle
        = m_routes->idleTimeout > Duration{0} ? m_routes->idleTimeout : m_settings.idleTimeout;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        Flow &flow = it->second;
        const Duration silent = now - flow.seenAt;
        const Duration timeout = flow.requested ? promiseOf(it->first).timeout : Duration{0};
        if (flow.requested && silent >= (timeout > Duration{0} ? timeout : MaxRequestTime)) {
            endWork(flow);
            if (DirectTarget *target = targetOf(flow))
                endRequest(flow, *target);
        }
        const Duration most = flow.state == FlowState::Open ? idle : ClosingLinger;
        if (silent < most) {
            ++it;
            continue;
        }
        release(it->first, flow);
        m_flows.erase(it++);
    }
    reprobeFailed(now);
    m_targets.expire(now, store, [this](const DirectTarget &target) {
        if (m_observer.stateChanged)
            m_observer.stateChanged({target, DirectTargetState::Gone});
    });
    m_gate.retainOnly([this](TargetId target) { return m_targets.find(target) != nullptr; });
}

} // namespace baobabtrail
