#include "core/targets/impl/table.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace baobabtrail {

namespace {

constexpr double ForeignGain = 0.05;
constexpr double MinLoadToSendAhead = 2.0;
constexpr Duration NoAheadAfterShed = 60s;
constexpr double DecayTimeGain = 0.02;
constexpr Duration MinDecayTime = 5ms;
constexpr int MinTimeoutInServiceTimes = 3;

constexpr Duration MaxAliveAge = 10s;
constexpr std::uint32_t UnansweredWhenGone = 6;
constexpr Duration ReopenSpread = 500ms;
constexpr Duration ReopenSpreadWhenGone = 5s;

[[nodiscard]] std::string healthText(TargetHealth health)
{
    switch (health) {
    case TargetHealth::Ejected:
        return "does not answer and is ejected";
    case TargetHealth::Mismatch:
        return "says that it serves another service and gets nothing";
    case TargetHealth::Warming:
        return "takes work and is warming up";
    default:
        return "takes its full share";
    }
}

} // namespace

bool TargetTable::Impl::takesWork(const Record &record, TimePoint now) const noexcept
{
    if (!record.config.takesWork())
        return false;
    if (!record.healthTracker.linkUp() || !record.healthTracker.identified())
        return false;
    if (!record.healthTracker.ejected())
        return true;
    const Group *serviceGroup = group(record.service);
    if (serviceGroup && serviceGroup->panicMode)
        return true;
    return record.running == 0 && record.healthTracker.mayProbe(now);
}

std::uint32_t TargetTable::Impl::attemptsAllowed(const Record &record, TimePoint now) const noexcept
{
    return record.limit.maxAttempts(record.healthTracker.share(now));
}

bool TargetTable::Impl::slotFree(const Record &record, TimePoint now) const noexcept
{
    const std::uint32_t ahead = maySendAhead(record, now) ? 1 : 0;
    return takesWork(record, now) && record.running < attemptsAllowed(record, now) + ahead;
}

bool TargetTable::Impl::maySendAhead(const Record &record, TimePoint now) const noexcept
{
    // Between an answer and the next dispatch a slot is idle for a round trip, a few hundredths of
    // the capacity, which is what lacks when all queues are long. Then, and only then, one more
    // request waits at the target itself.
    if (record.waiting == 0 || record.healthTracker.ejected() || now < record.noAheadUntil)
        return false;
    const Group *serviceGroup = group(record.service);
    return serviceGroup && serviceGroup->averageRequests >= MinLoadToSendAhead
           && record.healthTracker.share(now) >= 1.0;
}

bool TargetTable::Impl::takesFlow(const Record &record, TimePoint now) const noexcept
{
    if (!record.config.takesWork() || !record.healthTracker.identified())
        return false;
    const Group *serviceGroup = group(record.service);
    if (serviceGroup && serviceGroup->panicMode)
        return true;
    if (record.healthTracker.ejected())
        return record.offers == 0 && record.healthTracker.mayProbe(now);
    return record.healthTracker.linkUp();
}

LoadHint TargetTable::Impl::loadOf(const Record &record, TimePoint now) const noexcept
{
    LoadHint hint;
    hint.target = record.config.id;
    const double allowed = attemptsAllowed(record, now);
    // What the target reports beyond our own attempts counts, but never for more than half of its
    // slots: a target that always says it is full would else get nothing for ever.
    const double foreign = std::clamp(record.foreign - 1.0, 0.0, allowed / 2);
    hint.requests = static_cast<float>((record.running + record.waiting + foreign) / allowed);
    if (!takesWork(record, now))
        hint.requests = impl::UnavailableLoad;
    hint.flows = impl::UnavailableLoad;
    if (!takesFlow(record, now))
        return hint;
    const Group *serviceGroup = group(record.service);
    const double average = serviceGroup ? serviceGroup->averageFlows : 0;
    const double weight = std::max<double>(record.config.weight, 1);
    const double held = (record.connections.value() + record.offers) / weight;
    // A cold target holds next to nothing and would win every comparison; told as the usual load
    // at first, it gets its even share and no herd.
    const double share = record.healthTracker.share(now);
    hint.flows = static_cast<float>(share * held + (1.0 - share) * std::max(average, held));
    return hint;
}

void TargetTable::Impl::applyReport(Record &record, const LoadReport &report, TimePoint now)
{
    record.report = report;
    record.reportAt = now;
    const double beyond
        = static_cast<double>(report.running) + report.queued - static_cast<double>(record.running);
    record.foreign += ForeignGain * (beyond - record.foreign);
    const Group *serviceGroup = group(record.service);
    const double average = serviceGroup ? serviceGroup->averageFlows * record.config.weight : 0;
    record.connections.reported(report.connections, average, now);
}

void TargetTable::Impl::recordOutcome(Record &record, AttemptEnd end, Duration runTime,
                                      std::uint32_t running, TimePoint now)
{
    const Duration average = record.limit.serviceTime();
    switch (end) {
    case AttemptEnd::Done:
        record.aliveAt = now;
        record.healthTracker.succeeded(now);
        record.limit.succeeded(running, runTime);
        if (Group *serviceGroup = group(record.service)) {
            const auto gap = static_cast<double>((runTime - serviceGroup->decayTime).count());
            serviceGroup->decayTime += Duration{static_cast<Duration::rep>(DecayTimeGain * gap)};
            serviceGroup->decayTime = std::max(serviceGroup->decayTime, MinDecayTime);
        }
        return;
    case AttemptEnd::Shed:
        record.aliveAt = now;
        record.healthTracker.answered(now);
        // A shed of what was sent ahead of a slot says that the target keeps no queue, not that it
        // sustains fewer than its slots.
        if (running > attemptsAllowed(record, now))
            record.noAheadUntil = now + NoAheadAfterShed;
        else
            record.limit.shed(now);
        return;
    case AttemptEnd::TimedOut:
        // A caller with a very short deadline says nothing about the target: counted, one
        // impatient workspace could eject every target of the service.
        if (runTime >= MinTimeoutInServiceTimes * average)
            record.healthTracker.unanswered(now);
        return;
    case AttemptEnd::Cancelled:
        record.healthTracker.answered(now);
        return;
    case AttemptEnd::LinkBroken:
        // linkLost() counts the broken connection once, not for each attempt that was on it.
        return;
    }
}

void TargetTable::Impl::updatePanicMode(Record &record, TimePoint now)
{
    if (Group *serviceGroup = group(record.service))
        updatePanicMode(*serviceGroup, now);
}

void TargetTable::Impl::updatePanicMode(Group &serviceGroup, TimePoint now) const noexcept
{
    std::size_t serving = 0;
    std::size_t dead = 0;
    for (const Record *record : serviceGroup.local) {
        if (!record->config.takesWork())
            continue;
        ++serving;
        const bool looksDead
            = record->own ? record->healthTracker.ejected() : record->hinted.unavailable(now);
        dead += looksDead ? 1 : 0;
    }
    // When most targets look dead it is likelier that this daemon can't hear them; ejecting them
    // all would turn a fault of ours into an outage, so they are served on.
    serviceGroup.panicMode = dead * 2 > serving;
}

std::optional<TimePoint> TargetTable::Impl::due(const Record &record) const noexcept
{
    const auto at = record.own ? record.healthTracker.probeAt() : std::nullopt;
    // A probe that has fallen due waits for work to come; a timer in the past would expire at once,
    // again and again.
    return at && *at > m_advancedAt ? at : std::nullopt;
}

void TargetTable::Impl::advance(TimePoint now, std::vector<Notice> &notices)
{
    m_advancedAt = now;
    for (Group *serviceGroup : ownGroups)
        updatePanicMode(*serviceGroup, now);
    for (Record *record : ownRecords) {
        const TargetHealth health = record->healthTracker.health(now);
        if (health == record->loggedHealth || health == TargetHealth::Unverified)
            continue;
        record->loggedHealth = health;
        const bool bad = health == TargetHealth::Ejected || health == TargetHealth::Mismatch;
        notices.push_back({bad ? Severity::Warning : Severity::Info,
                           Part::Targets,
                           "target " + record->config.name + " " + healthText(health),
                           record->service,
                           {}});
    }
}

std::optional<Duration> TargetTable::Impl::reopenDelay(TargetId target, std::uint32_t unanswered,
                                                       TimePoint now, Random &random)
{
    Record *record = find(target);
    if (!record)
        return std::nullopt;
    const bool alive = record->aliveAt != TimePoint::min() && now - record->aliveAt < MaxAliveAge;
    // A target that is silent to all may be back in a moment with its flows intact; only when it
    // stays silent are they moved.
    if (!alive && unanswered < UnansweredWhenGone)
        return std::nullopt;
    // One dead target holds thousands of flows; reopened at once they would overload the rest.
    // Whoever finds no token asks again with the flow's next keep-alive.
    if (!record->reopens.available(now) || !m_reopens.available(now))
        return std::nullopt;
    record->reopens.spend();
    m_reopens.spend();
    const Duration spread = alive ? ReopenSpread : ReopenSpreadWhenGone;
    boost::random::uniform_int_distribution<Duration::rep> wait{0, spread.count()};
    return Duration{wait(random)};
}

} // namespace baobabtrail
