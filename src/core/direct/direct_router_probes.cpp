/// \file
/// \brief Probes of targets that don't respond to flows.

#include "core/direct/direct_router.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace baobabtrail {

namespace {

/// Time between two probes of a target whose last probe failed.
constexpr Duration ReprobePeriod = 2s;
/// A target that responded within this time needs no probe.
constexpr Duration HeardRecently = 500ms;
/// Bound on the targets that one sweep probes. A domain may have a thousand; a long queue of probes
/// keeps a small CPU busy, and delays the probe of a target that is back, which stays unused.
constexpr std::size_t MaxProbesPerSweep = 32;
/// Time between two control probes; shorter than a probe's timeout.
constexpr Duration ControlInterval = 100ms;
/// Bound on the failed targets that are probed again per second.
constexpr std::size_t MaxReprobes = 8;

} // namespace

std::vector<ProbeRequest> DirectRouter::takeProbes(TimePoint now)
{
    std::vector<ProbeRequest> out;
    for (const TargetId id : m_probes.startNext()) {
        const DirectTarget *target = m_targets.find(id);
        if (target)
            out.push_back({id, target->incarnation, target->entry.address, now});
        else
            m_probes.finished(id);
    }
    if (out.empty() || !m_onSign)
        return out;
    if (const auto control = controlProbe(m_targets.find(out.front().target)->entry.service, now))
        out.push_back(*control);
    return out;
}

std::optional<ProbeRequest> DirectRouter::controlProbe(ServiceId service, TimePoint now)
{
    if (m_controlAt && now - *m_controlAt < ControlInterval)
        return std::nullopt;
    const DirectTarget *target = m_targets.drawResponsive(service, m_random);
    if (!target || !m_probes.startAtOnce(target->entry.id))
        return std::nullopt;
    m_controlAt = now;
    return ProbeRequest{target->entry.id, target->incarnation, target->entry.address, now};
}

void DirectRouter::observed(TargetId target, TargetSign sign) const
{
    if (m_onSign)
        m_onSign(target, sign);
}

void DirectRouter::setReported(TargetId id, bool silent, TimePoint now)
{
    DirectTarget *target = m_targets.find(id);
    if (target && m_targets.setReported(*target, silent, now) && m_observer.stateChanged)
        m_observer.stateChanged({*target, m_targets.state(*target)});
}

void DirectRouter::firstReported(TargetId id, TimePoint now)
{
    const DirectTarget *target = m_targets.find(id);
    if (!m_probing || !target || target->goneAt)
        return;
    if (m_probeShare.includes(id))
        m_probes.request(id);
    const std::string &domain = target->entry.domain;
    if (m_probes.shouldSweepReported(domain, m_targets.targetsByDomain().at(domain), now))
        sweep(domain, now);
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
    if (outcome == ProbeOutcome::Alive)
        m_respondedAt = now;
    const bool isBack = outcome == ProbeOutcome::Alive && m_targets.probeFailureConfirmed(*target);
    if (m_targets.probed(*target, outcome, now) && m_observer.stateChanged)
        m_observer.stateChanged({*target, m_targets.state(*target)});
    if (isBack)
        m_targets.allowTrialFlows(target->entry.domain, now);
    if (outcome == ProbeOutcome::Alive) {
        observed(probe.target, TargetSign::Alive);
        return;
    }
    // A daemon that is cut off finds every target silent. Probes that start one after the other
    // share a control probe.
    const bool isConnected = m_respondedAt && *m_respondedAt + ControlInterval >= probe.startedAt;
    if (outcome == ProbeOutcome::TimedOut && isConnected)
        observed(probe.target, TargetSign::Silent);
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

// Where several targets of a domain have failed, the others may have too. A sweep detects it before
// callers do so one by one.
void DirectRouter::sweep(const std::string &domain, TimePoint now)
{
    std::size_t swept = 0;
    for (const auto &[id, target] : m_targets.all()) {
        if (target.entry.domain != domain || target.goneAt || target.probesFailed > 0)
            continue;
        if (target.heardAt && now - *target.heardAt < HeardRecently)
            continue;
        if (m_probeShare.isKnown() && !m_probeShare.includes(id))
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
