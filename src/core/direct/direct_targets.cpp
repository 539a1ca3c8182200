#include "core/direct/direct_targets.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Probes that must fail in a row before a target counts as down: a single failure may be a lost
/// packet.
constexpr std::uint32_t FailedProbesToConfirm = 2;

} // namespace

bool DirectTargets::put(const RegisteredTarget &entry, TimePoint now)
{
    const auto [found, isNew] = m_targets.try_emplace(entry.id);
    DirectTarget &target = found->second;
    if (isNew)
        m_labels.add(entry.id);
    const bool moves = target.entry.service != entry.service || target.entry.domain != entry.domain;
    if (!isNew && moves)
        unlist(target);
    const auto before = target.entry.startedAt;
    const bool restarted = before && entry.startedAt && before != entry.startedAt;
    if (restarted) {
        const std::uint32_t incarnation = target.incarnation + 1;
        target = {};
        target.incarnation = incarnation;
    }
    target.entry = entry;
    if (isNew || moves)
        list(target);
    target.refused = false;
    target.coldUntil = std::max(target.coldUntil, now + entry.warmUpLeft);
    target.local = entry.domain == m_domain;
    target.evacuated = m_evacuated.contains(entry.domain);
    target.lapsedAt.reset();
    target.goneAt.reset();
    return restarted;
}

void DirectTargets::list(DirectTarget &target)
{
    m_services[target.entry.service][target.entry.domain].all.push_back(&target);
    ++m_byDomain[target.entry.domain];
}

void DirectTargets::unlist(DirectTarget &target)
{
    ServiceTargets &service = m_services[target.entry.service];
    DomainTargets &listed = service[target.entry.domain];
    std::erase(listed.all, &target);
    std::erase(listed.responsive, &target);
    listed.oldest = 0;
    if (listed.all.empty())
        service.erase(target.entry.domain);
    const auto count = m_byDomain.find(target.entry.domain);
    if (--count->second == 0)
        m_byDomain.erase(count);
}

bool DirectTargets::setEvacuated(const std::string &domain, bool evacuated, TimePoint now)
{
    const bool isNew
        = evacuated ? m_evacuated.emplace(domain, now).second : m_evacuated.erase(domain) > 0;
    for (auto &[id, target] : m_targets) {
        if (target.entry.domain != domain)
            continue;
        target.evacuated = evacuated;
        if (isNew && !evacuated)
            mayBeCold(target, now);
    }
    return isNew;
}

std::uint64_t DirectTargets::openFlowsIn(const std::string &domain) const
{
    std::uint64_t flows = 0;
    for (const auto &[id, target] : m_targets) {
        if (target.entry.domain == domain)
            flows += target.openFlows;
    }
    return flows;
}

void DirectTargets::refuse(TargetId id)
{
    if (DirectTarget *target = find(id))
        target->refused = true;
}

void DirectTargets::remove(TargetId id, bool lapsed, TimePoint now)
{
    DirectTarget *target = find(id);
    if (!target || target->goneAt || target->lapsedAt)
        return;
    // A draining target had announced its end: it has left, and not lapsed.
    if (lapsed && !target->entry.draining && has(Mechanism::Lapses))
        target->lapsedAt = now;
    else
        target->goneAt = now;
}

// No target can register while the store is away. The time therefore counts from the store's last
// return: where it came back for a moment only, a live target would be declared gone and lose its
// open flows.
bool DirectTargets::stayedAway(const DirectTarget &target, const StoreStatus &store) const noexcept
{
    if (!target.lapsedAt || !store.confirmedAt)
        return false;
    const TimePoint since = std::max(*target.lapsedAt, store.returnedAt.value_or(*target.lapsedAt));
    return *store.confirmedAt - since >= m_settings.lapsedFor;
}

void DirectTargets::expire(TimePoint now, const StoreStatus &store,
                           const std::function<void(const DirectTarget &)> &ended)
{
    m_cold.expire(now);
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        DirectTarget &target = it->second;
        if (stayedAway(target, store)) {
            target.lapsedAt.reset();
            target.goneAt = now;
            ended(target);
        }
        if (!target.goneAt || now - *target.goneAt < m_settings.flowLifetime) {
            ++it;
            continue;
        }
        m_labels.remove(it->first);
        unlist(target);
        it = m_targets.erase(it);
    }
}

DirectTarget *DirectTargets::find(TargetId target) noexcept
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

const DirectTarget *DirectTargets::find(TargetId target) const noexcept
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

DirectTarget *DirectTargets::find(FlowLabel label) noexcept
{
    const std::optional<TargetId> target = m_labels.find(label);
    return target ? find(*target) : nullptr;
}

DirectTargetState DirectTargets::state(const DirectTarget &target) const noexcept
{
    if (target.goneAt)
        return DirectTargetState::Gone;
    if (target.refused)
        return DirectTargetState::Refused;
    if (target.entry.draining)
        return DirectTargetState::Draining;
    if (target.evacuated)
        return DirectTargetState::Evacuated;
    if (isSuspect(target))
        return DirectTargetState::Suspect;
    return target.lapsedAt ? DirectTargetState::Lapsed : DirectTargetState::Healthy;
}

bool DirectTargets::isSuspect(const DirectTarget &target) const noexcept
{
    if (!has(Mechanism::Suspicion))
        return false;
    return target.unanswered >= m_settings.suspectAfter || target.probesFailed > 0
           || target.reportedSilent;
}

bool DirectTargets::isUnreachable(const DirectTarget &target) const noexcept
{
    return target.probesTimedOut >= FailedProbesToConfirm;
}

bool DirectTargets::probeFailureConfirmed(const DirectTarget &target) const noexcept
{
    return target.probesFailed >= FailedProbesToConfirm;
}

const WarmUpLimit *DirectTargets::coldLimit(const DirectTarget &target,
                                            TimePoint now) const noexcept
{
    if (now >= target.coldUntil)
        return nullptr;
    const auto limit = m_coldLimits.find(target.entry.service);
    return limit == m_coldLimits.end() ? nullptr : &limit->second;
}

// A target that was unreachable may have restarted cold, and its own registration, which says so,
// may arrive a second late.
void DirectTargets::mayBeCold(DirectTarget &target, TimePoint now) noexcept
{
    const auto limit = m_coldLimits.find(target.entry.service);
    if (limit != m_coldLimits.end())
        target.coldUntil = std::max(target.coldUntil, now + limit->second.duration);
}

bool DirectTargets::admits(const DirectTarget &target, TimePoint now) const
{
    const WarmUpLimit *limit = coldLimit(target, now);
    return !limit || m_cold.admits(target.entry.id, *limit, now);
}

bool DirectTargets::takesFlows(const DirectTarget &target, TimePoint now) const noexcept
{
    const DirectTargetState state = this->state(target);
    if (state != DirectTargetState::Healthy && state != DirectTargetState::Suspect)
        return false;
    if (!m_labels.labelOf(target.entry.id))
        return false;
    if (state == DirectTargetState::Healthy)
        return !target.probePending;
    // Its recovery is detected by probes, at no caller's expense.
    if (target.probesFailed > 0 || target.reportedSilent)
        return false;
    const TimePoint tried = target.trialAt.value_or(target.unansweredSince);
    return now - tried >= m_settings.trialEvery;
}

} // namespace baobabtrail
