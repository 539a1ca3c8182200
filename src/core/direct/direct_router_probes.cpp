/// \file
/// \brief Targets that leave flows without a sign, and what connections to them show.

#include "core/direct/direct_router.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace baobabtrail {

namespace {

/// Between two probes of a target that is silent.
constexpr Duration ReprobePeriod = 2s;
/// A target that was heard within this time needs no probe.
constexpr Duration HeardRecently = 500ms;
/// Targets that are tried in one sweep: a domain may have a thousand, and what is waiting ahead
/// keeps a small processor busy and a target that is back unused.
constexpr std::size_t MaxProbesPerSweep = 32;
/// Silent targets that are tried again in one second.
constexpr std::size_t MaxReprobes = 8;

} // namespace

std::vector<ProbeRequest> DirectRouter::takeProbes()
{
    std::vector<ProbeRequest> out;
    for (const TargetId id : m_probes.startNext()) {
        const DirectTarget *target = m_targets.find(id);
        if (target)
            out.push_back({id, target->incarnation, target->entry.address});
        else
            m_probes.finished(id);
    }
    return out;
}

void DirectRouter::probed(const ProbeRequest &probe, ProbeOutcome outcome, TimePoint now)
{
    m_probes.finished(probe.target);
    DirectTarget *target = m_targets.find(probe.target);
    if (!target || target->incarnation != probe.incarnation)
        return;
    if (outcome == ProbeOutcome::Inconclusive) {
        if (target->probePending)
            m_probes.requestFirst(probe.target);
        return;
    }
    const bool isBack = outcome == ProbeOutcome::Alive && m_targets.probeFailureConfirmed(*target);
    if (m_targets.probed(*target, outcome, now) && m_observer.stateChanged)
        m_observer.stateChanged({*target, m_targets.state(*target)});
    if (isBack)
        m_targets.allowTrialFlows(target->entry.domain, now);
    if (outcome == ProbeOutcome::Alive)
        return;
    if (!m_targets.probeFailureConfirmed(*target))
        m_probes.requestFirst(probe.target);
    if (target->probesFailed == 1 && m_probes.shouldSweep(target->entry.domain, now))
        sweep(target->entry.domain, now);
}

void DirectRouter::requestProbe(DirectTarget &target)
{
    if (!m_probing || target.goneAt || !m_settings.mechanisms.has(Mechanism::Probes))
        return;
    target.probePending = true;
    m_probes.requestFirst(target.entry.id);
}

// Where several targets of a domain have gone, the others may have too: their callers need not find
// out one by one.
void DirectRouter::sweep(const std::string &domain, TimePoint now)
{
    std::size_t swept = 0;
    for (const auto &[id, target] : m_targets.all()) {
        if (target.entry.domain != domain || target.goneAt || target.probesFailed > 0)
            continue;
        if (target.heardAt && now - *target.heardAt < HeardRecently)
            continue;
        m_probes.request(id);
        if (++swept == MaxProbesPerSweep)
            return;
    }
}

void DirectRouter::reprobeFailed(TimePoint now)
{
    std::vector<std::pair<TimePoint, TargetId>> due;
    for (const auto &[id, target] : m_targets.all()) {
        if (target.probesFailed > 0 && !target.goneAt && now - target.probedAt >= ReprobePeriod)
            due.emplace_back(target.probedAt, id);
    }
    const std::size_t count = std::min(due.size(), MaxReprobes);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
    for (std::size_t index = 0; index < count; ++index)
        m_probes.request(due[index].second);
}

} // namespace baobabtrail
