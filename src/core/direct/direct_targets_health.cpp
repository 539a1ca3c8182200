/// \file
/// \brief How DirectTargets takes evidence of health, from probes, flows and other daemons.

#include "core/direct/direct_targets.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Weight of a new answer in the moving average: about the last five answers count.
constexpr double AnswerGain = 0.2;
/// Targets of a service and a failure domain that are remembered as responsive.
constexpr std::size_t MaxResponsive = 64;

} // namespace

bool DirectTargets::heard(DirectTarget &target, TimePoint now)
{
    const bool suspect = isSuspect(target);
    target.heardAt = now;
    noteResponsive(target);
    target.reportedSilent = false;
    target.unanswered = 0;
    target.trialAt.reset();
    target.probePending = false;
    target.probesFailed = 0;
    target.probesTimedOut = 0;
    return suspect;
}

void DirectTargets::noteResponsive(DirectTarget &target)
{
    DomainTargets &domain = m_services[target.entry.service][target.entry.domain];
    std::vector<DirectTarget *> &known = domain.responsive;
    if (domain.all.size() <= MaxResponsive
        || std::find(known.begin(), known.end(), &target) != known.end())
        return;
    if (known.size() < MaxResponsive) {
        known.push_back(&target);
        return;
    }
    known[domain.oldest] = &target;
    domain.oldest = (domain.oldest + 1) % MaxResponsive;
}

bool DirectTargets::setReported(DirectTarget &target, bool silent, TimePoint now) noexcept
{
    if (target.reportedSilent == silent)
        return false;
    const bool suspect = isSuspect(target);
    target.reportedSilent = silent;
    if (!silent)
        mayBeCold(target, now);
    return suspect != isSuspect(target);
}

bool DirectTargets::probed(DirectTarget &target, ProbeOutcome outcome, TimePoint now) noexcept
{
    const bool suspect = isSuspect(target);
    target.probePending = false;
    target.probedAt = now;
    if (outcome != ProbeOutcome::Alive) {
        ++target.probesFailed;
        target.probesTimedOut = outcome == ProbeOutcome::TimedOut ? target.probesTimedOut + 1 : 0;
        return suspect != isSuspect(target);
    }
    // A host answers at the address again, but the address may belong to another target by now: one
    // trial flow shows it. After a single failure it was a lost packet, and no trial is needed.
    if (probeFailureConfirmed(target))
        allowTrialFlow(target, now);
    target.probesFailed = 0;
    target.probesTimedOut = 0;
    return suspect != isSuspect(target);
}

void DirectTargets::allowTrialFlow(DirectTarget &target, TimePoint now) noexcept
{
    target.probesFailed = 0;
    target.probesTimedOut = 0;
    target.unanswered = std::max(target.unanswered, m_settings.suspectAfter);
    target.trialAt = now - m_settings.trialEvery;
    mayBeCold(target, now);
}

void DirectTargets::allowTrialFlows(const std::string &domain, TimePoint now) noexcept
{
    for (auto &[id, target] : m_targets) {
        if (target.entry.domain == domain && probeFailureConfirmed(target))
            allowTrialFlow(target, now);
    }
}

void DirectTargets::answered(DirectTarget &target, Duration took, TimePoint now) noexcept
{
    const auto micros = static_cast<double>(took.count());
    target.answerMicros = target.answerMicros > 0
                              ? target.answerMicros + AnswerGain * (micros - target.answerMicros)
                              : micros;
    target.answeredAt = now;
}

bool DirectTargets::unanswered(DirectTarget &target, TimePoint now) noexcept
{
    if (target.unanswered == 0)
        target.unansweredSince = now;
    ++target.unanswered;
    return target.unanswered == m_settings.suspectAfter;
}

} // namespace baobabtrail
