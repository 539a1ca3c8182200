#include "core/flows/flow_router.h"

#include "core/flows/target_cut.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace baobabtrail {

namespace {

[[nodiscard]] const OpenFlow &openOf(const Handoff &ask)
{
    return std::get<OpenFlow>(ask.body);
}

/// \return The flow that a message is about.
[[nodiscard]] FlowId flowOf(const FlowMessage &message) noexcept
{
    return std::visit([](const auto &m) { return m.flow; }, message);
}

} // namespace

FlowRouter::FlowRouter(NodeContext &context)
    : m_context(context)
    , m_pending(context.settings.maxPendingOpens, context.settings.openTimeout)
{
}

void FlowRouter::fromCaller(const Endpoint &caller, FlowMessage message, Turn &turn)
{
    std::visit(
        [&](auto &&m) {
            using Message = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<Message, OpenFlow>)
                open(caller, m, turn);
            else if constexpr (std::is_same_v<Message, KeepAlive>)
                keepAlive(caller, m, turn);
            else if constexpr (std::is_same_v<Message,
                                              FlowData> || std::is_same_v<Message, CloseFlow>)
                forwardToTarget(caller, std::forward<decltype(m)>(m), turn);
        },
        std::move(message));
}

void FlowRouter::open(const Endpoint &caller, OpenFlow message, Turn &turn)
{
    place(newHandoff(m_context, caller, message), false, turn);
}

void FlowRouter::fromPeer(Handoff ask, Turn &turn)
{
    for (const LoadHint &hint : ask.hints)
        m_context.targets.applyHint(hint, turn.now);
    if (m_context.targets.owns(ask.target)) {
        if (offer(ask, ask.target, turn))
            return;
        ask.hints.push_back(declinedLoad(m_context, ask.target, turn.now));
    }
    place(std::move(ask), true, turn);
}

void FlowRouter::place(Handoff ask, bool forwarded, Turn &turn)
{
    const OpenFlow open = openOf(ask);
    const PlacementCallbacks placing{
        [&](const std::vector<LoadHint> &declined) {
            return m_context.targets.chooseForFlow(open.service, open.flow, open.attempt, declined,
                                                   turn.now, m_context.random);
        },
        [&](const Handoff &offered, TargetId target) { return offer(offered, target, turn); }};
    if (placeOrForward(m_context, turn, ask, forwarded, placing))
        return;
    if (ask.hints.empty() && returnToEntry(m_context, turn, ask))
        return;
    if (m_context.stopping)
        return refuse(ask, RefusalCause::Stopping, turn);
    if (!m_context.configured())
        return;
    if (!m_context.hasService(open.service))
        return refuse(ask, RefusalCause::UnknownService, turn);
    if (m_pending.full())
        return refuse(ask, RefusalCause::TableFull, turn);
    refuse(ask, ask.hints.empty() ? RefusalCause::NoTarget : RefusalCause::Overload, turn);
}

bool FlowRouter::offer(const Handoff &ask, TargetId target, Turn &turn)
{
    const OpenFlow &open = openOf(ask);
    const TargetConfig *config = m_context.config->target(open.service, target);
    if (!config || m_context.stopping)
        return false;

    FlowToken token;
    const PendingOpen *pending = m_pending.find(open.flow);
    const bool repeated = pending && pending->token.target == target
                          && pending->token.generation == config->generation;
    if (repeated) {
        // The same token as before: whichever datagrams arrive, the target has only one flow.
        token = pending->token;
    } else {
        if (m_pending.full() || !m_context.targets.takesFlow(target, turn.now))
            return false;
        token.service = open.service;
        token.target = target;
        token.generation = config->generation;
        token.address = config->flows;
        token.revision = m_context.config->revision;
        token = m_context.keys->sealFlow(open.flow, token);
        m_context.targets.flowOffered(target, turn.now);
    }
    m_pending.add(open.flow, ask, token, turn.now);
    turn.add(
        SendToTarget{token.address, TargetDatagram{ask.caller, token, m_context.identity.address,
                                                   std::nullopt, open}});
    return true;
}

void FlowRouter::refuse(const Handoff &ask, RefusalCause cause, Turn &turn)
{
    const OpenFlow &open = openOf(ask);
    turn.observe(FlowObserved{open.service, FlowEvent::Refused, cause, {}});
    replyToHandoff(m_context, turn, ask,
                   RefuseFlow{open.flow, cause, m_context.jittered(DefaultRetryAfter)});
}

template <typename Message>
void FlowRouter::forwardToTarget(const Endpoint &caller, Message message, Turn &turn)
{
    if (!verifyToken(message.flow, message.token, caller, turn))
        return;
    if (wasCut(*m_context.config, message.token)) {
        reset(caller, message.flow, message.token.service, ResetCause::TargetCut, Duration{0},
              turn);
        return;
    }
    if constexpr (std::is_same_v<Message, KeepAlive>)
        renewToken(caller, message, turn);
    if constexpr (std::is_same_v<Message, CloseFlow>)
        turn.observe(FlowObserved{message.token.service, FlowEvent::Closed, {}, {}});
    const FlowToken token = message.token;
    turn.add(SendToTarget{token.address, TargetDatagram{caller, token, Endpoint{}, std::nullopt,
                                                        FlowMessage{std::move(message)}}});
}

// A flow may last longer than a key is accepted: two rotations after it was placed its token would
// be refused and the flow reset. So any daemon that sees a keep-alive with an older key seals the
// token with the current one, for the caller and, by forwarding the keep-alive, for the target.
void FlowRouter::renewToken(const Endpoint &caller, KeepAlive &message, Turn &turn)
{
    if (message.token.epoch >= m_context.keys->currentEpoch())
        return;
    message.token = m_context.keys->sealFlow(message.flow, message.token);
    turn.sendToCaller(caller, FlowMessage{AcceptFlow{message.flow, message.token}});
}

void FlowRouter::keepAlive(const Endpoint &caller, const KeepAlive &message, Turn &turn)
{
    if (message.unanswered < m_context.settings.silentAfter) {
        forwardToTarget(caller, message, turn);
        return;
    }
    if (!verifyToken(message.flow, message.token, caller, turn))
        return;
    const std::optional<Duration> delay = m_context.targets.reopenDelay(
        message.token.target, message.unanswered, turn.now, m_context.random);
    if (!delay || wasCut(*m_context.config, message.token)) {
        forwardToTarget(caller, message, turn);
        return;
    }
    // Something between caller and target has lost this flow: it stays silent while new flows work.
    // The flow is closed at the target too, which would otherwise keep it until it times out.
    reset(caller, message.flow, message.token.service, ResetCause::Silent, *delay, turn);
    forwardToTarget(caller, CloseFlow{message.flow, message.token}, turn);
}

void FlowRouter::fromTarget(const Endpoint &address, TargetDatagram datagram, Turn &turn)
{
    const FlowToken &token = datagram.token;
    const FlowId flow = flowOf(datagram.body);
    if (m_context.keys->checkFlow(flow, token) != TokenError::None || token.address != address) {
        turn.observe(RejectObserved{RejectKind::BadFlowToken, token.service});
        return;
    }
    if (const AcceptFlow *accept = std::get_if<AcceptFlow>(&datagram.body))
        return accepted(datagram, *accept, turn);
    if (const RefuseFlow *refusal = std::get_if<RefuseFlow>(&datagram.body))
        return refused(datagram, *refusal, turn);
    if (m_pending.find(flow) && std::holds_alternative<ResetFlow>(datagram.body)) {
        // The address serves another service by now, so the open is placed at another target.
        turn.observe(RejectObserved{RejectKind::WrongTarget, token.service});
        return refused(datagram, RefuseFlow{flow, RefusalCause::NoTarget, Duration{0}}, turn);
    }
    forwardToCaller(std::move(datagram), turn);
}

void FlowRouter::accepted(TargetDatagram &datagram, const AcceptFlow &accept, Turn &turn)
{
    const FlowToken &token = datagram.token;
    const AcceptFlow reply{accept.flow, token};
    std::optional<PendingOpen> open = m_pending.take(accept.flow, token);
    if (!open) {
        m_context.targets.heardFrom(token.target, turn.now);
        turn.sendToCaller(datagram.caller, FlowMessage{reply});
        return;
    }
    m_context.targets.flowAccepted(token.target, datagram.load.value_or(LoadReport{}), turn.now);
    const bool resumes = !openOf(open->ask).resumes.isNull();
    turn.observe(
        FlowObserved{token.service, resumes ? FlowEvent::Reopened : FlowEvent::Opened, {}, {}});
    open->ask.hints.push_back(m_context.targets.loadOf(token.target, turn.now));
    replyToHandoff(m_context, turn, open->ask, reply);
}

void FlowRouter::refused(TargetDatagram &datagram, const RefuseFlow &refusal, Turn &turn)
{
    const TargetId target = datagram.token.target;
    std::optional<PendingOpen> open = m_pending.take(refusal.flow, datagram.token);
    if (!open)
        return; // The caller has retried, or has its answer already.
    m_context.targets.flowRefused(target, datagram.load ? &*datagram.load : nullptr, turn.now);
    open->ask.hints.push_back(m_context.targets.loadOf(target, turn.now));
    place(std::move(open->ask), true, turn);
}

void FlowRouter::forwardToCaller(TargetDatagram datagram, Turn &turn)
{
    const FlowToken &token = datagram.token;
    if (std::holds_alternative<OpenFlow>(datagram.body)
        || std::holds_alternative<KeepAlive>(datagram.body))
        return;
    if (wasCut(*m_context.config, token)) {
        reset(datagram.caller, flowOf(datagram.body), token.service, ResetCause::TargetCut,
              Duration{0}, turn);
        return;
    }
    if (std::holds_alternative<KeepAliveAck>(datagram.body))
        m_context.targets.heardFrom(token.target, turn.now);
    if (const ResetFlow *byTarget = std::get_if<ResetFlow>(&datagram.body)) {
        turn.observe(FlowObserved{token.service, FlowEvent::Reset, {}, byTarget->cause});
    }
    turn.sendToCaller(datagram.caller, std::move(datagram.body));
}

bool FlowRouter::verifyToken(FlowId flow, const FlowToken &token, const Endpoint &caller,
                             Turn &turn)
{
    const TokenError error = m_context.keys->checkFlow(flow, token);
    if (error == TokenError::None)
        return true;
    turn.observe(RejectObserved{RejectKind::BadFlowToken, token.service});
    // A daemon that has missed a key rotation can't verify newer tokens. It drops the datagram, as
    // the network might; a reset would end a flow that all other daemons forward.
    if (error == TokenError::UnknownEpoch && token.epoch > m_context.keys->currentEpoch())
        return false;
    reset(caller, flow, token.service, ResetCause::BadToken, Duration{0}, turn);
    return false;
}

void FlowRouter::reset(const Endpoint &caller, FlowId flow, ServiceId service, ResetCause cause,
                       Duration reopenAfter, Turn &turn)
{
    turn.observe(FlowObserved{service, FlowEvent::Reset, {}, cause});
    turn.sendToCaller(caller, FlowMessage{ResetFlow{flow, cause, reopenAfter}});
}

void FlowRouter::advance(Turn &turn)
{
    while (const std::optional<PendingOpen> open = m_pending.takeExpired(turn.now))
        m_context.targets.flowUnanswered(open->token.target, turn.now);
}

std::optional<TimePoint> FlowRouter::nextTimer() const noexcept
{
    return m_pending.nextTimer();
}

bool FlowRouter::hasPendingOpen(TargetId target) const noexcept
{
    return m_pending.hasPendingOpen(target);
}

} // namespace baobabtrail
