#include "core/targets/target_table.h"

#include "core/targets/impl/table.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace baobabtrail {

namespace {

constexpr Duration FirstLinkRetry = 100ms;
constexpr Duration MaxLinkRetry = 5s;
constexpr std::uint32_t MaxDoublings = 6;
/// A target whose link is verified within this time after it was declared counts as cold.
constexpr Duration ColdFor = 60s;

} // namespace

TargetTable::TargetTable()
    : m_impl(std::make_unique<Impl>())
{
}

TargetTable::~TargetTable() = default;

void TargetTable::configure(ConfigPtr config, ViewPtr view, TimePoint now)
{
    m_impl->configure(std::move(config), std::move(view), now);
}

std::optional<PlacementChoice> TargetTable::chooseForFlow(ServiceId service, FlowId flow,
                                                          std::uint32_t attempt,
                                                          const std::vector<LoadHint> &declined,
                                                          TimePoint now, Random &random)
{
    return m_impl->chooseForFlow(service, flow, attempt, declined, now, random);
}

std::optional<PlacementChoice> TargetTable::chooseForRequest(ServiceId service, const RequestId &,
                                                             const std::vector<LoadHint> &declined,
                                                             TimePoint now, Random &random)
{
    return m_impl->chooseForRequest(service, declined, now, random);
}

void TargetTable::applyHint(const LoadHint &hint, TimePoint now)
{
    m_impl->applyHint(hint, now);
}

bool TargetTable::owns(TargetId target) const noexcept
{
    return m_impl->findOwn(target) != nullptr;
}

std::vector<TargetId> TargetTable::owned() const
{
    std::vector<TargetId> result;
    for (const auto *record : m_impl->ownRecords)
        result.push_back(record->config.id);
    std::ranges::sort(result);
    return result;
}

bool TargetTable::takesWork(TargetId target, TimePoint now) const noexcept
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    return record && m_impl->takesWork(*record, now);
}

bool TargetTable::slotFree(TargetId target, TimePoint now) const noexcept
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    return record && m_impl->slotFree(*record, now);
}

bool TargetTable::takesFlow(TargetId target, TimePoint now) const noexcept
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    return record && m_impl->takesFlow(*record, now);
}

LoadHint TargetTable::loadOf(TargetId target, TimePoint now) const noexcept
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    return record ? m_impl->loadOf(*record, now)
                  : LoadHint{target, impl::UnavailableLoad, impl::UnavailableLoad};
}

std::optional<TargetStatus> TargetTable::status(TargetId target, TimePoint now) const
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return std::nullopt;
    TargetStatus status;
    status.target = target;
    status.service = record->service;
    status.health = record->healthTracker.health(now);
    status.concurrencyLimit = record->limit.value();
    status.running = record->running;
    status.waiting = record->waiting;
    status.reported = record->report;
    if (record->reportAt != TimePoint::min())
        status.reportAge = now - record->reportAt;
    return status;
}

void TargetTable::linkVerified(TargetId target, ServiceId says, const LoadReport &load,
                               TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    const bool cold = record->addedAt && now - *record->addedAt < ColdFor;
    record->healthTracker.verified(says == record->service, cold, now);
    record->aliveAt = now;
    m_impl->applyReport(*record, load, now);
    m_impl->updatePanicMode(*record, now);
}

void TargetTable::linkLost(TargetId target, TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    record->healthTracker.linkLost(now);
    m_impl->updatePanicMode(*record, now);
}

Duration TargetTable::linkRetryDelay(TargetId target, Random &random) const
{
    const impl::TargetRecord *record = m_impl->findOwn(target);
    const std::uint32_t losses = record ? record->healthTracker.linkLosses() : 0;
    const Duration grown = FirstLinkRetry * (1U << std::min(losses, MaxDoublings));
    // Without jitter every daemon would connect to a target that returns at the same instant.
    boost::random::uniform_real_distribution<double> jitter{0.5, 1.0};
    const auto bounded = static_cast<double>(std::min(grown, MaxLinkRetry).count());
    return Duration{static_cast<Duration::rep>(bounded * jitter(random))};
}

void TargetTable::setWaiting(TargetId target, std::uint32_t waiting) noexcept
{
    if (impl::TargetRecord *record = m_impl->findOwn(target))
        record->waiting = waiting;
}

void TargetTable::attemptStarted(TargetId target, TimePoint now)
{
    impl::TargetRecord *record = m_impl->find(target);
    if (!record)
        return;
    ++record->running;
    if (record->healthTracker.ejected())
        record->healthTracker.probeStarted(now);
}

void TargetTable::attemptEnded(TargetId target, AttemptEnd end, Duration runTime,
                               const LoadReport *load, TimePoint now)
{
    impl::TargetRecord *record = m_impl->find(target);
    if (!record)
        return;
    const std::uint32_t running = record->running;
    record->running -= running > 0 ? 1 : 0;
    m_impl->recordOutcome(*record, end, runTime, running, now);
    if (load)
        m_impl->applyReport(*record, *load, now);
    m_impl->updatePanicMode(*record, now);
}

void TargetTable::flowOffered(TargetId target, TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    ++record->offers;
    if (record->healthTracker.ejected())
        record->healthTracker.probeStarted(now);
}

void TargetTable::flowAccepted(TargetId target, const LoadReport &load, TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    record->offers -= record->offers > 0 ? 1 : 0;
    record->aliveAt = now;
    record->connections.accepted(now);
    record->healthTracker.openAnswered(now);
    m_impl->applyReport(*record, load, now);
    m_impl->updatePanicMode(*record, now);
}

void TargetTable::flowRefused(TargetId target, const LoadReport *load, TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    record->offers -= record->offers > 0 ? 1 : 0;
    record->aliveAt = now;
    record->healthTracker.answered(now);
    if (load)
        m_impl->applyReport(*record, *load, now);
    m_impl->updatePanicMode(*record, now);
}

void TargetTable::flowUnanswered(TargetId target, TimePoint now)
{
    impl::TargetRecord *record = m_impl->findOwn(target);
    if (!record)
        return;
    record->offers -= record->offers > 0 ? 1 : 0;
    record->healthTracker.openUnanswered(now);
    m_impl->updatePanicMode(*record, now);
}

void TargetTable::heardFrom(TargetId target, TimePoint now)
{
    impl::TargetRecord *record = m_impl->find(target);
    if (!record)
        return;
    record->aliveAt = now;
    record->healthTracker.heard(now);
}

std::optional<Duration> TargetTable::reopenDelay(TargetId target, std::uint32_t unanswered,
                                                 TimePoint now, Random &random)
{
    return m_impl->reopenDelay(target, unanswered, now, random);
}

void TargetTable::advance(TimePoint now, std::vector<Notice> &notices)
{
    m_impl->advance(now, notices);
}

std::optional<TimePoint> TargetTable::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto *record : m_impl->ownRecords) {
        const std::optional<TimePoint> due = m_impl->due(*record);
        if (due && (!next || *due < *next))
            next = due;
    }
    return next;
}

} // namespace baobabtrail
