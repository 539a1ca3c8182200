#include "core/requests/dispatcher.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// How long requests stay queued for a target that has become unavailable, as it may recover.
constexpr Duration UnavailableGrace = 2s;
/// Bound on the attempts at one request, whatever the retry budget allows.
constexpr std::uint32_t MaxAttempts = 3;
/// Each finished attempt moves the mean run time by 1/8 of the difference.
constexpr int RunTimeSamples = 8;
/// Each request refused for lack of time shortens the mean run time by 1/64.
constexpr int RunTimeDecayRefusals = 64;
/// Bound on the rounds of other daemons' attempts that a request is expected to wait for at its
/// target. A change of owner causes one; without the bound, a target that always reports many would
/// never get work.
constexpr std::uint32_t MaxExpectedWaits = 1;

} // namespace

Dispatcher::Dispatcher(NodeContext &context, RequestTable &table, Outcomes &outcomes,
                       TargetLinks &links)
    : m_context(context)
    , m_table(table)
    , m_outcomes(outcomes)
    , m_links(links)
    , m_nextAttempt(context.random())
{
}

void Dispatcher::configure(Turn &turn)
{
    for (const auto &[serviceId, service] : m_context.config->services) {
        for (const auto &[id, target] : service.targets) {
            if (!m_context.targets.owns(id) && !m_work.contains(id))
                continue;
            TargetWork &work = m_work[id];
            work.service = serviceId;
            work.slots = std::max<std::uint32_t>(1, target.slots);
            work.queue.configure(std::size_t{work.slots} * service.limits.queuePerSlot,
                                 service.workspace, service.limits.workspaceShare);
        }
    }
    std::erase_if(m_work, [&](const auto &item) {
        return !m_context.targets.owns(item.first) && !inUse(item.first);
    });
    advance(turn);
}

bool Dispatcher::hasFreeSlot(TargetId target, TimePoint now) const
{
    // The load includes reservations: a slot that one of them will use shortly isn't free.
    return m_context.targets.slotFree(target, now)
           && m_context.targets.loadOf(target, now).requests < 1.0F;
}

std::optional<QueueRefusal> Dispatcher::admit(TargetId target, const QueueEntry &entry, Turn &turn)
{
    const auto found = m_work.find(target);
    if (found == m_work.end() || !m_context.targets.takesWork(target, turn.now))
        return QueueRefusal{RefusalCause::NoTarget, m_context.jittered(DefaultRetryAfter)};
    TargetWork &work = found->second;
    std::optional<QueueEntry> displaced;
    const std::optional<QueueRefusal> refusal
        = work.queue.admit(entry, turn.now, m_context.random, displaced);
    RequestRecord *out = displaced ? m_table.find(displaced->request) : nullptr;
    if (out) {
        m_outcomes.notRun(*out, RefusalCause::Overload, work.queue.retryAfter(m_context.random),
                          turn);
    }
    publishQueueLength(target, work);
    return refusal;
}

void Dispatcher::requestArrived(RequestRecord &record, std::string payload, Turn &turn)
{
    m_table.setState(record, QueuedState{std::move(payload)}, record.token.deadline);
    const TargetId target = record.target;
    const RequestId id = record.id;
    m_work[target].queue.setReady(id);
    dispatchQueued(target, turn);
    const RequestRecord *waiting = m_table.find(id);
    if (waiting && waiting->waits())
        dispatchOnIdleTargets(target, turn);
}

void Dispatcher::removeFromQueue(const RequestRecord &record)
{
    const auto found = m_work.find(record.target);
    if (found == m_work.end())
        return;
    found->second.queue.remove(record.id);
    publishQueueLength(record.target, found->second);
}

void Dispatcher::dispatchQueued(TargetId target, Turn &turn)
{
    const auto found = m_work.find(target);
    if (found == m_work.end())
        return;
    TargetWork &work = found->second;
    while (work.queue.size() > 0 && mayStart(target, work, turn.now)) {
        RequestRecord *record = popNext(work, turn);
        if (!record)
            break;
        dispatch(*record, work, turn);
    }
    publishQueueLength(target, work);
    if (!takesNoNewWork(target))
        stealFromOthers(target, work, turn);
}

RequestRecord *Dispatcher::popNext(TargetWork &work, Turn &turn)
{
    for (;;) {
        std::vector<QueueEntry> expired;
        const std::optional<RequestId> next = work.queue.pop(turn.now, expired);
        for (const QueueEntry &late : expired) {
            RequestRecord *record = m_table.find(late.request);
            if (record && record->waits())
                m_outcomes.notRun(*record, RefusalCause::DeadlinePassed, Duration{0}, turn);
        }
        if (!next)
            return nullptr;
        RequestRecord *record = m_table.find(*next);
        if (record && std::holds_alternative<QueuedState>(record->state))
            return record;
    }
}

// Work stealing: one target's queue can be long while another target of the service, with the same
// owner, has free slots that its requests could use.
void Dispatcher::stealFromOthers(TargetId target, TargetWork &work, Turn &turn)
{
    for (auto &[other, busy] : m_work) {
        if (other == target || busy.service != work.service)
            continue;
        while (busy.queue.size() > 0 && mayStart(target, work, turn.now)) {
            RequestRecord *record = popNext(busy, turn);
            if (!record)
                break;
            record->target = target;
            dispatch(*record, work, turn);
        }
        publishQueueLength(other, busy);
    }
}

void Dispatcher::dispatchOnIdleTargets(TargetId target, Turn &turn)
{
    const ServiceId service = m_work[target].service;
    for (auto &[other, work] : m_work) {
        if (other != target && work.service == service && work.queue.size() == 0)
            dispatchQueued(other, turn);
    }
}

bool Dispatcher::mayStart(TargetId target, const TargetWork &work, TimePoint now) const noexcept
{
    if (!m_links.usableGeneration(target))
        return false;
    // Requests reserved before the target began to drain, or moved to another owner, still run on
    // it. The target table counts slots only for targets that take work.
    if (takesNoNewWork(target))
        return work.running < work.slots;
    return m_context.targets.slotFree(target, now);
}

// A target that has shed everything so far has no run time of its own. With an expected run time of
// 0 it would be sent requests that can't finish before their deadline: they would end as unknown,
// while "not run" can still be said of a request that is not dispatched.
Duration Dispatcher::expectedRunTime(const TargetWork &work) const noexcept
{
    if (work.meanRunTime > Duration{0})
        return work.meanRunTime;
    Duration longest{0};
    for (const auto &[target, other] : m_work) {
        if (other.service == work.service)
            longest = std::max(longest, other.meanRunTime);
    }
    return longest;
}

// While a target moves from one owner to another, both fill its slots, the old one possibly before
// it knows of the move, and an attempt waits behind those of the other daemon. If that wait were
// not counted, requests with too little time left would be dispatched and end as unknown. The load
// that the target reports shows the attempts of other daemons.
Duration Dispatcher::expectedResponseTime(const TargetWork &work) const noexcept
{
    const std::uint32_t ahead
        = work.workOfOtherOwners > 0 ? work.workOfOtherOwners + work.running : 0;
    const std::uint32_t waits = std::min(ahead / work.slots, MaxExpectedWaits);
    return expectedRunTime(work) * (1 + waits);
}

void Dispatcher::dispatch(RequestRecord &record, TargetWork &work, Turn &turn)
{
    const Duration timeLeft = record.token.deadline - turn.now;
    // The deadline may have passed while the process was stalled. A request that can't finish in
    // time is refused as "not run", which can still be said; dispatched, it would end as unknown.
    if (timeLeft <= expectedResponseTime(work)) {
        // A refused request yields no run time. Without this decay, requests for a target that was
        // slow once would be refused for ever.
        work.meanRunTime -= work.meanRunTime / RunTimeDecayRefusals;
        return m_outcomes.notRun(record, RefusalCause::DeadlinePassed, Duration{0}, turn);
    }
    const AttemptId attempt{m_nextAttempt++};
    const Generation generation = *m_links.usableGeneration(record.target);
    std::string payload = std::move(std::get<QueuedState>(record.state).payload);
    turn.sendOnLink(
        record.target, generation,
        Dispatch{attempt, record.id, record.token.service, record.requestClass, timeLeft, payload});
    if (record.attempts++ == 0) {
        record.dispatchedAt = turn.now;
        budget(record).firstAttempt();
    }
    m_table.bindAttempt(attempt, record.id);
    m_table.setState(record, RunningState{attempt, generation, turn.now, std::move(payload), false},
                     record.token.deadline);
    ++work.running;
    m_context.targets.attemptStarted(record.target, turn.now);
}

void Dispatcher::endAttempt(RequestRecord &record, AttemptEnd end, const LoadReport *load,
                            Turn &turn)
{
    const RunningState &running = std::get<RunningState>(record.state);
    const Duration ran = turn.now - running.since;
    m_table.dropAttempt(running.attempt);
    m_context.targets.attemptEnded(record.target, end, ran, load, turn.now);
    TargetWork &work = m_work[record.target];
    work.running -= work.running > 0 ? 1 : 0;
    if (load) {
        const std::uint32_t all = load->running + load->queued;
        work.workOfOtherOwners = all > work.running ? all - work.running : 0;
    }
    if (end != AttemptEnd::Done)
        return;
    if (work.meanRunTime == Duration{0})
        work.meanRunTime = ran;
    work.meanRunTime += (ran - work.meanRunTime) / RunTimeSamples;
    work.queue.slotFreed(ran, work.slots, turn.now);
}

void Dispatcher::attemptDone(TargetId target, AttemptDone done, Turn &turn)
{
    RequestRecord *record = m_table.findAttempt(done.attempt);
    // Ignores the answer to an attempt that was abandoned, as its request already has its final
    // outcome, and one from a target to which the attempt was not sent.
    if (!record || record->target != target) {
        m_context.targets.heardFrom(target, turn.now);
        return;
    }
    endAttempt(*record, AttemptEnd::Done, &done.load, turn);
    m_outcomes.answered(*record, std::move(done.payload), turn);
    dispatchQueued(target, turn);
}

void Dispatcher::attemptNotRun(TargetId target, const AttemptNotRun &report, Turn &turn)
{
    RequestRecord *record = m_table.findAttempt(report.attempt);
    if (!record || record->target != target) {
        m_context.targets.heardFrom(target, turn.now);
        return;
    }
    const bool cancelled = std::get<RunningState>(record->state).cancelled;
    endAttempt(*record, cancelled ? AttemptEnd::Cancelled : AttemptEnd::Shed, &report.load, turn);
    if (cancelled)
        m_outcomes.notRun(*record, RefusalCause::Cancelled, Duration{0}, turn);
    else if (!retry(*record, turn))
        m_outcomes.notRun(*record, report.cause, m_context.jittered(DefaultRetryAfter), turn);
    dispatchQueued(target, turn);
}

void Dispatcher::linkBroken(TargetId target, Turn &turn)
{
    for (const RequestId &id : m_table.ofTarget(target)) {
        RequestRecord &record = *m_table.find(id);
        if (!std::holds_alternative<RunningState>(record.state))
            continue;
        const bool cancelled = std::get<RunningState>(record.state).cancelled;
        endAttempt(record, AttemptEnd::LinkBroken, nullptr, turn);
        // An attempt sent on the connection may have run. A retry could run it twice, so that only
        // idempotent requests get one.
        record.mayHaveRun = true;
        if (!record.idempotent || cancelled || !retry(record, turn))
            m_outcomes.unknown(record, UnknownCause::LinkBroken, turn);
    }
}

void Dispatcher::targetCut(TargetId target, Turn &turn)
{
    linkBroken(target, turn);
    drainQueue(target, turn);
}

bool Dispatcher::retry(RequestRecord &record, Turn &turn)
{
    if (record.attempts >= MaxAttempts || record.token.deadline <= turn.now)
        return false;
    std::optional<TargetId> target = anotherTarget(record, turn);
    if (!target && mayStart(record.target, m_work[record.target], turn.now)
        && m_context.targets.takesWork(record.target, turn.now))
        target = record.target;
    if (!target || !budget(record).spend())
        return false;
    std::string payload = std::move(std::get<RunningState>(record.state).payload);
    moveTo(record, *target, QueuedState{std::move(payload)}, turn);
    return true;
}

std::optional<TargetId> Dispatcher::anotherTarget(const RequestRecord &record, Turn &turn)
{
    const std::vector<LoadHint> declined{{record.target, WorstLoad, WorstLoad}};
    const std::optional<PlacementChoice> choice = m_context.targets.chooseForRequest(
        record.token.service, record.id, declined, turn.now, m_context.random);
    if (!choice || !choice->own || choice->target == record.target
        || !m_links.usableGeneration(choice->target))
        return std::nullopt;
    return choice->target;
}

void Dispatcher::moveTo(RequestRecord &record, TargetId target, RequestState state, Turn &turn)
{
    const bool ready = std::holds_alternative<QueuedState>(state);
    record.target = target;
    m_table.setState(record, std::move(state), ready ? record.token.deadline : record.dueAt);
    m_work[target].queue.addMoved(entryOf(record), ready);
    dispatchQueued(target, turn);
}

void Dispatcher::cancelAttempt(RequestRecord &record, Turn &turn)
{
    RunningState &running = std::get<RunningState>(record.state);
    running.cancelled = true;
    turn.sendOnLink(record.target, running.generation, CancelAttempt{running.attempt});
}

void Dispatcher::abandon(RequestRecord &record, Turn &turn)
{
    const TargetId target = record.target;
    cancelAttempt(record, turn);
    endAttempt(record, AttemptEnd::TimedOut, nullptr, turn);
    m_outcomes.unknown(record, UnknownCause::DeadlinePassed, turn);
    dispatchQueued(target, turn);
}

void Dispatcher::advance(Turn &turn)
{
    std::vector<TargetId> unavailable;
    for (auto &[target, work] : m_work) {
        const bool open
            = m_links.usableGeneration(target) && m_context.targets.takesWork(target, turn.now);
        if (open || work.queue.size() == 0) {
            work.unavailableSince.reset();
            continue;
        }
        if (!work.unavailableSince)
            work.unavailableSince = turn.now;
        if (turn.now >= *work.unavailableSince + UnavailableGrace)
            unavailable.push_back(target);
    }
    for (const TargetId target : unavailable)
        drainQueue(target, turn);
    for (const auto &[target, work] : m_work) {
        if (work.queue.size() > 0)
            dispatchQueued(target, turn);
    }
}

// A request left in the queue of a draining target would start there long after the drain began;
// one in the queue of a dead target would be refused only at its deadline.
void Dispatcher::drainQueue(TargetId target, Turn &turn)
{
    for (const RequestId &id : m_table.ofTarget(target)) {
        RequestRecord &record = *m_table.find(id);
        if (!record.waits())
            continue;
        removeFromQueue(record);
        const std::optional<TargetId> other = anotherTarget(record, turn);
        if (other)
            moveTo(record, *other, std::move(record.state), turn);
        else
            m_outcomes.notRun(record, RefusalCause::NoTarget, m_context.jittered(DefaultRetryAfter),
                              turn);
    }
}

std::optional<TimePoint> Dispatcher::nextTimer() const noexcept
{
    std::optional<TimePoint> next;
    for (const auto &[target, work] : m_work) {
        if (work.unavailableSince)
            next = earlier(next, *work.unavailableSince + UnavailableGrace);
    }
    return next;
}

bool Dispatcher::inUse(TargetId target) const noexcept
{
    const auto found = m_work.find(target);
    return found != m_work.end() && (found->second.running > 0 || found->second.queue.size() > 0);
}

bool Dispatcher::takesNoNewWork(TargetId target) const noexcept
{
    const TargetConfig *config = m_context.target(target);
    return !m_context.targets.owns(target) || !config || !config->takesWork();
}

void Dispatcher::publishQueueLength(TargetId target, const TargetWork &work) noexcept
{
    m_context.targets.setWaiting(target, static_cast<std::uint32_t>(work.queue.size()));
}

RetryBudget &Dispatcher::budget(const RequestRecord &record)
{
    const auto found = m_budgets.find(record.workspace);
    if (found != m_budgets.end())
        return found->second;
    const ServiceConfig *service = m_context.config->service(record.token.service);
    const ServiceLimits limits = service ? service->limits : ServiceLimits{};
    return m_budgets.emplace(record.workspace, RetryBudget{limits.retryPercent}).first->second;
}

QueueEntry Dispatcher::entryOf(const RequestRecord &record) const
{
    return {record.id, record.requestClass, record.workspace, record.token.deadline,
            record.reservedAt};
}

} // namespace baobabtrail
