/// \file
/// \brief Targets that leave flows without a sign, and what connections to them show.

#include "core/direct/direct_router.h"

namespace baobabtrail {

namespace {

/// Between two probes of a target that is silent.
constexpr Duration ProbeEvery = 2s;
/// A target that was heard within this time needs no probe.
constexpr Duration HeardLately = 500ms;

} // namespace

std::vector<ProbeRequest> DirectRouter::takeProbes()
{
    std::vector<ProbeRequest> out;
    for (const TargetId id : m_probes.begin()) {
        const DirectTarget *target = m_targets.find(id);
        if (target)
            out.push_back({id, target->incarnation, target->entry.address});
        else
            m_probes.ended(id);
    }
    return out;
}

void DirectRouter::probed(const ProbeRequest &probe, ProbeOutcome outcome, TimePoint now)
{
    m_probes.ended(probe.target);
    DirectTarget *target = m_targets.find(probe.target);
    if (!target || target->incarnation != probe.incarnation)
        return;
    if (outcome == ProbeOutcome::Unsure) {
        if (target->doubted)
            m_probes.want(probe.target);
        return;
    }
    if (m_targets.probed(*target, outcome, now) && m_observer.believed)
        m_observer.believed({*target, m_targets.belief(*target)});
    if (outcome == ProbeOutcome::Alive)
        return;
    if (!m_targets.probesAgree(*target))
        m_probes.want(probe.target);
    if (target->probesFailed == 1 && m_probes.sweeps(target->entry.domain, now))
        sweep(target->entry.domain, now);
}

void DirectRouter::doubt(DirectTarget &target)
{
    if (!m_probing || target.goneAt || !m_settings.mechanisms.has(Mechanism::Probes))
        return;
    target.doubted = true;
    m_probes.want(target.entry.id);
}

// Where several targets of a domain have gone, the others may have too: their callers need not find
// out one by one.
void DirectRouter::sweep(const std::string &domain, TimePoint now)
{
    for (const auto &[id, target] : m_targets.all()) {
        if (target.entry.domain != domain || target.goneAt || target.probesFailed > 0)
            continue;
        if (target.heardAt && now - *target.heardAt < HeardLately)
            continue;
        m_probes.want(id);
    }
}

void DirectRouter::probeSilent(TimePoint now)
{
    for (const auto &[id, target] : m_targets.all()) {
        if (target.probesFailed > 0 && !target.goneAt && now - target.probedAt >= ProbeEvery)
            m_probes.want(id);
    }
}

} // namespace baobabtrail
