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
        return "is ejected: it does not answer";
    case TargetHealth::Mismatch:
        return "reports that it serves another service and gets no work";
    case TargetHealth::Warming:
        return "accepts work and is warming up";
    default:
        return "is healthy and gets its full share";
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
    // Between an answer and the next dispatch a slot is idle for a round trip. That costs a few
    // percent of the capacity, which matters only while all queues are long; so only then one more
    // request is sent ahead to wait at the target itself.
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
    // Requests that the target reports beyond this daemon's attempts count, but for at most half of
    // its slots: otherwise a target that always reports to be full would never get any work.
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
    // A cold target has hardly any flows and would win every comparison. Reported with the average
    // load at first, it gets an even share instead of a thundering herd.
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
        // If an attempt that was sent ahead of a slot is shed, the target has no queue; it doesn't
        // mean that it sustains fewer attempts than its slots.
        if (running > attemptsAllowed(record, now))
            record.noAheadUntil = now + NoAheadAfterShed;
        else
            record.limit.shed(now);
        return;
    case AttemptEnd::TimedOut:
        // A very short deadline tells nothing about the target. If it counted, one workspace with
        // such deadlines could eject every target of the service.
        if (runTime >= MinTimeoutInServiceTimes * average)
            record.healthTracker.unanswered(now);
        return;
    case AttemptEnd::Cancelled:
        record.healthTracker.answered(now);
        return;
    case AttemptEnd::LinkBroken:
        // linkLost() counts the broken connection once, instead of once for each attempt on it.
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
    // If most targets look dead, it is more likely that this daemon is cut off from them. Ejecting
    // all of them would turn its own fault into an outage, so they stay in use (panic mode).
    serviceGroup.panicMode = dead * 2 > serving;
}

std::optional<TimePoint> TargetTable::Impl::due(const Record &record) const noexcept
{
    const auto at = record.own ? record.healthTracker.probeAt() : std::nullopt;
    // An overdue probe waits until there is work for it. A timer in the past would expire at once,
    // over and over.
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
    // A target that answers nobody may be back in a moment with its flows intact. They are reopened
    // only if it stays silent.
    if (!alive && unanswered < UnansweredWhenGone)
        return std::nullopt;
    // A dead target had thousands of flows, which would overload the others if reopened at once. A
    // caller that gets no token from the budget is considered again with its next keep-alive.
    if (!record->reopens.available(now) || !m_reopens.available(now))
        return std::nullopt;
    record->reopens.spend();
    m_reopens.spend();
    const Duration spread = alive ? ReopenSpread : ReopenSpreadWhenGone;
    boost::random::uniform_int_distribution<Duration::rep> wait{0, spread.count()};
    return Duration{wait(random)};
}

} // namespace baobabtrail
