#include "core/requests/request_owner.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace baobabtrail {

namespace {

[[nodiscard]] const Reserve &reserveOf(const Handoff &handoff)
{
    return std::get<Reserve>(handoff.body);
}

} // namespace

RequestOwner::RequestOwner(NodeContext &context, TargetLinks &links)
    : m_context(context)
    , m_table(context.settings.maxRequests)
    , m_outcomes(context, m_table)
    , m_dispatcher(context, m_table, m_outcomes, links)
{
}

void RequestOwner::fromCaller(const Endpoint &caller, RequestMessage message, Turn &turn)
{
    std::visit(
        [&](auto &&m) {
            using Message = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<Message, Reserve>)
                reserve(newHandoff(m_context, caller, m), false, turn);
            else if constexpr (std::is_same_v<
                                   Message, RequestData> || std::is_same_v<Message, CancelRequest>)
                route(caller, std::forward<decltype(m)>(m), turn);
        },
        std::move(message));
}

void RequestOwner::fromPeer(Handoff handoff, Turn &turn)
{
    for (const LoadHint &hint : handoff.hints)
        m_context.targets.applyHint(hint, turn.now);
    reserve(std::move(handoff), true, turn);
}

void RequestOwner::reserve(Handoff handoff, bool forwarded, Turn &turn)
{
    if (answerDuplicate(handoff, turn))
        return;
    const Reserve reserve = reserveOf(handoff);
    if (reserve.timeLeft <= Duration{0})
        return refuse(handoff, RefusalCause::DeadlinePassed, Duration{0}, turn);
    Duration retryAfter = m_context.jittered(DefaultRetryAfter);
    std::vector<TargetId> queues;
    const auto offerFreeSlot = [&](const Handoff &offered, TargetId target) {
        queues.push_back(target);
        return m_dispatcher.hasFreeSlot(target, turn.now)
               && offer(offered, target, retryAfter, turn);
    };
    if (forwarded && m_context.targets.owns(handoff.target)) {
        if (offerFreeSlot(handoff, handoff.target))
            return;
        handoff.hints.push_back(declinedLoad(m_context, handoff.target, turn.now));
    }
    const PlacementCallbacks callbacks{[&](const std::vector<LoadHint> &declined) {
                                           return m_context.targets.chooseForRequest(
                                               reserve.service, reserve.request, declined, turn.now,
                                               m_context.random);
                                       },
                                       offerFreeSlot};
    if (placeOrForward(m_context, turn, handoff, forwarded, callbacks))
        return;
    // No target has a free slot, so that the request has to queue here. Each target tried was less
    // loaded than the one before: the last one comes first.
    std::reverse(queues.begin(), queues.end());
    for (const TargetId target : queues) {
        if (offer(handoff, target, retryAfter, turn))
            return;
    }
    if (handoff.hints.empty() && returnToEntry(m_context, turn, handoff))
        return;
    if (m_context.stopping)
        return refuse(handoff, RefusalCause::Stopping, retryAfter, turn);
    if (!m_context.configured())
        return;
    if (!m_context.hasService(reserve.service))
        return refuse(handoff, RefusalCause::UnknownService, retryAfter, turn);
    const std::optional<RefusalCause> bound = refusalByLimits(reserve);
    if (bound)
        return refuse(handoff, *bound, retryAfter, turn);
    refuse(handoff, handoff.hints.empty() ? RefusalCause::NoTarget : RefusalCause::Overload,
           retryAfter, turn);
}

// The caller may retransmit its Reserve before the reply arrives. It gets the same reservation, so
// that it can't hold two places. A reservation that has ended is not replaced by a new one, which a
// delayed copy of the old request would start.
bool RequestOwner::answerDuplicate(const Handoff &handoff, Turn &turn)
{
    const Reserve &reserve = reserveOf(handoff);
    RequestRecord *record = m_table.find(reserve.request);
    if (!record)
        return false;
    if (record->token.service != reserve.service) {
        refuse(handoff, RefusalCause::Cancelled, Duration{0}, turn);
        return true;
    }
    replyToHandoff(m_context, turn, handoff, Reserved{reserve.request, record->token});
    return true;
}

bool RequestOwner::offer(const Handoff &handoff, TargetId target, Duration &retryAfter, Turn &turn)
{
    const Reserve &reserve = reserveOf(handoff);
    const ServiceConfig *service = m_context.config->service(reserve.service);
    if (!service || !service->targets.contains(target) || m_context.stopping)
        return false;
    if (refusalByLimits(reserve))
        return false;

    RequestRecord record;
    record.id = reserve.request;
    record.token.owner = m_context.identity.daemon;
    record.token.incarnation = m_context.identity.incarnation;
    record.token.service = reserve.service;
    record.token.ownerAddress = m_context.identity.address;
    record.token.deadline = turn.now + std::min(reserve.timeLeft, m_context.settings.maxDeadline);
    record.caller = handoff.caller;
    record.target = target;
    record.requestClass = reserve.requestClass;
    record.idempotent = reserve.idempotent;
    record.workspace = service->workspace;
    record.reservedAt = turn.now;

    const QueueEntry entry{record.id, record.requestClass, record.workspace, record.token.deadline,
                           turn.now};
    const std::optional<QueueRefusal> refusal = m_dispatcher.admit(target, entry, turn);
    if (refusal) {
        retryAfter = refusal->retryAfter;
        return false;
    }
    record.token = m_context.keys->sealReservation(record.id, record.token);
    record.dueAt = std::min(turn.now + m_context.settings.reservationLapse, record.token.deadline);
    record.state = ReservedState{record.dueAt};
    const Reserved reply{record.id, record.token};
    m_table.add(std::move(record));
    Handoff placed = handoff;
    placed.hints.push_back(m_context.targets.loadOf(target, turn.now));
    replyToHandoff(m_context, turn, placed, reply);
    return true;
}

std::optional<RefusalCause> RequestOwner::refusalByLimits(const Reserve &reserve) const
{
    // Records of running requests are never evicted: the only way to stay within the bound is to
    // refuse new ones.
    if (m_table.full() || m_table.answerBytes() >= m_context.settings.maxAnswerBytes)
        return RefusalCause::TableFull;
    const ServiceConfig *service = m_context.config->service(reserve.service);
    if (service
        && m_table.shareExhausted(service->workspace, service->limits.workspaceShare,
                                  m_context.workspaceWeights))
        return RefusalCause::WorkspaceLimit;
    return std::nullopt;
}

void RequestOwner::refuse(const Handoff &handoff, RefusalCause cause, Duration retryAfter,
                          Turn &turn)
{
    const Reserve &reserve = reserveOf(handoff);
    turn.observe(RequestObserved{
        reserve.service, reserve.requestClass, RequestOutcome::NotRun, cause, {}, {}});
    replyToHandoff(m_context, turn, handoff,
                   NotRun{reserve.request, cause, retryAfter, DaemonId{}});
}

template <typename Message>
void RequestOwner::route(const Endpoint &caller, Message message, Turn &turn)
{
    const ReservationToken &token = message.token;
    if (m_context.keys->checkReservation(message.request, token) != TokenError::None) {
        turn.observe(RejectObserved{RejectKind::BadReservation, token.service});
        return;
    }
    if (token.owner == m_context.identity.daemon)
        return handleOwned(caller, std::move(message), turn);
    // The view may be wrong about the owner. In that case the owner still runs the request, once,
    // and "unknown" is a true answer for the caller.
    if (m_context.isGone(token.owner, token.incarnation)) {
        turn.sendToCaller(caller,
                          RequestMessage{OutcomeUnknown{message.request, UnknownCause::OwnerGone}});
        return;
    }
    const Endpoint owner = token.ownerAddress;
    turn.sendToPeer(owner, OwnerRequest{caller, std::move(message)});
}

void RequestOwner::fromPeer(OwnerRequest message, Turn &turn)
{
    std::visit(
        [&](auto &&body) {
            const ReservationToken &token = body.token;
            if (m_context.keys->checkReservation(body.request, token) != TokenError::None) {
                turn.observe(RejectObserved{RejectKind::BadReservation, token.service});
                return;
            }
            if (token.owner != m_context.identity.daemon) {
                // The owner's address belongs to another daemon now.
                turn.sendToCaller(message.caller, RequestMessage{OutcomeUnknown{
                                                      body.request, UnknownCause::OwnerGone}});
                return;
            }
            handleOwned(message.caller, std::forward<decltype(body)>(body), turn);
        },
        std::move(message.body));
}

template <typename Message>
void RequestOwner::handleOwned(const Endpoint &caller, Message message, Turn &turn)
{
    const ReservationToken &token = message.token;
    const RequestId request = message.request;
    if (token.incarnation != m_context.identity.incarnation) {
        turn.sendToCaller(caller,
                          RequestMessage{OutcomeUnknown{request, UnknownCause::OwnerRestarted}});
        return;
    }
    RequestRecord *record = m_table.find(request);
    // A delayed copy, whose record was erased, finds none or the record of a later reservation. The
    // request may have run under the earlier one and must not start again under the later one.
    if (!record || record->token != token) {
        turn.sendToCaller(caller, RequestMessage{OutcomeUnknown{request, UnknownCause::Expired}});
        return;
    }
    record->caller = caller;
    handle(*record, std::move(message), turn);
}

void RequestOwner::handle(RequestRecord &record, RequestData message, Turn &turn)
{
    if (std::holds_alternative<ReservedState>(record.state))
        return m_dispatcher.requestArrived(record, std::move(message.payload), turn);
    if (!record.inProgress())
        m_outcomes.resend(record, turn);
}

void RequestOwner::handle(RequestRecord &record, const CancelRequest &, Turn &turn)
{
    if (record.waits()) {
        m_dispatcher.removeFromQueue(record);
        const bool hasCome = std::holds_alternative<QueuedState>(record.state);
        m_outcomes.notRun(record, RefusalCause::Cancelled, Duration{0}, turn);
        if (hasCome)
            return;
    }
    if (record.inProgress())
        return m_dispatcher.cancelAttempt(record, turn);
    m_outcomes.resend(record, turn);
}

void RequestOwner::advance(Turn &turn)
{
    while (RequestRecord *record = m_table.due(turn.now))
        expire(*record, turn);
}

void RequestOwner::expire(RequestRecord &record, Turn &turn)
{
    if (std::holds_alternative<RunningState>(record.state))
        return m_dispatcher.abandon(record, turn);
    if (!record.waits()) {
        m_table.erase(record.id);
        return;
    }
    const TargetId target = record.target;
    m_dispatcher.removeFromQueue(record);
    const bool late = record.token.deadline <= turn.now;
    const RefusalCause cause = late ? RefusalCause::DeadlinePassed : RefusalCause::Cancelled;
    m_outcomes.notRun(record, cause, Duration{0}, turn);
    m_dispatcher.dispatchQueued(target, turn);
}

std::optional<TimePoint> RequestOwner::nextTimer() const noexcept
{
    return earlier(m_table.nextTimer(), m_dispatcher.nextTimer());
}

} // namespace baobabtrail
