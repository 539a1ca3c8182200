/// \file
/// \brief How DirectTargets chooses the target of a new flow.

#include "core/direct/direct_targets.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace baobabtrail {

namespace {

/// Half-life of a target's measured slowness. Without the decay, a target that was slow once and
/// has no other flow that would show its recovery would get hardly any flow for ever.
constexpr Duration SpeedHalfLife = 2s;
/// Bounds of a target's answer time relative to the average.
constexpr double MaxSlowness = 8.0;
constexpr double MinSlowness = 0.8;
/// Tries to draw a target that responds: nearly always enough while half of them do.
constexpr int MaxDraws = 16;

/// Targets of a failure domain that are drawn for a new flow, where it has more.
constexpr std::size_t MaxExamined = 64;

[[nodiscard]] DirectTarget *drawOne(const std::vector<DirectTarget *> &targets, Random &random)
{
    using Draw = boost::random::uniform_int_distribution<std::size_t>;
    return targets[Draw{0, targets.size() - 1}(random)];
}

[[nodiscard]] double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double DirectTargets::averageAnswer(const std::vector<DirectTarget *> &among) const noexcept
{
    double sum = 0;
    std::size_t count = 0;
    for (const DirectTarget *target : among) {
        if (target->answerMicros <= 0)
            continue;
        sum += target->answerMicros;
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

double DirectTargets::cost(const DirectTarget &target, double averageMicros,
                           TimePoint now) const noexcept
{
    double work = target.load();
    if (has(Mechanism::OpenFlowWeight))
        work += m_settings.openFlowWeight * target.openFlows;
    double slowness = 1.0;
    if (averageMicros > 0 && target.answerMicros > 0 && has(Mechanism::Slowness)) {
        const double halfLives = has(Mechanism::SlownessFades)
                                     ? secondsOf(now - target.answeredAt) / secondsOf(SpeedHalfLife)
                                     : 0.0;
        const double faded = std::exp2(-halfLives);
        const double relative
            = std::clamp(target.answerMicros / averageMicros, MinSlowness, MaxSlowness);
        slowness *= 1.0 + (relative - 1.0) * faded;
    }
    // Load per slot with one more request, weighted by the target's slowness.
    const double slots = std::max<std::uint32_t>(target.entry.slots, 1);
    return (work + 1.0) / slots * slowness;
}

DirectTarget *DirectTargets::leastLoaded(const std::vector<DirectTarget *> &among, TimePoint now,
                                         Random &random) const
{
    const double averageMicros = averageAnswer(among);
    DirectTarget *best = nullptr;
    double bestCost = 0;
    std::uint32_t ties = 0;
    for (DirectTarget *target : among) {
        const double cost = this->cost(*target, averageMicros, now);
        if (best && cost > bestCost)
            continue;
        if (!best || cost < bestCost) {
            best = target;
            bestCost = cost;
            ties = 1;
            continue;
        }
        // Uniform choice among equals, so that the daemons don't all start with the same target.
        ++ties;
        if (boost::random::uniform_int_distribution<std::uint32_t>{1, ties}(random) == 1)
            best = target;
    }
    return best;
}

// What an opening costs must not grow with the targets of a service. Of many targets a random few
// are as good as all, but for those that responded lately: at most of the others nothing is known
// here, and some may have failed.
void DirectTargets::examine(const Choice &choice, const DomainTargets &targets)
{
    // Few of a domain's targets may be reserved, and the most urgent must not miss these.
    const bool all = targets.all.size() <= MaxExamined
                     || planOf(choice.request.service)
                            .reservations.contains(targets.all.front()->entry.domain);
    const std::size_t before = m_candidates.size();
    for (std::size_t count = 0; !all && count < MaxExamined; ++count)
        examine(choice, *drawOne(targets.all, choice.random));
    if (!all && m_candidates.size() > before) {
        for (DirectTarget *target : targets.responsive)
            examine(choice, *target);
        return;
    }
    for (DirectTarget *target : targets.all)
        examine(choice, *target);
}

void DirectTargets::examine(const Choice &choice, DirectTarget &target)
{
    ++m_examined;
    if (target.entry.id == choice.request.except || !admits(target, choice.now))
        return;
    const DirectTargetState state = this->state(target);
    if (takesFlows(target, choice.now))
        m_candidates.known.push_back(&target);
    else if (state == DirectTargetState::Lapsed && target.unanswered == 0)
        m_candidates.lapsed.push_back(&target);
    const bool last = state == DirectTargetState::Suspect || state == DirectTargetState::Lapsed
                      || (state == DirectTargetState::Healthy && target.probePending);
    if (last)
        m_lastResort.push_back(&target);
}

DirectTarget *
DirectTargets::chooseIn(const Choice &choice,
                        const std::function<bool(const std::string &domain)> &includes)
{
    m_candidates.clear();
    for (const auto &[domain, targets] : choice.targets) {
        if (includes(domain))
            examine(choice, targets);
    }
    addLapsed(m_candidates);
    applyReservations(choice.request, choice.drawn, m_candidates.known);
    return leastLoaded(m_candidates.known, choice.now, choice.random);
}

// A lapsed registration is no sign of a failure. When the first target re-registers after an
// outage, it would otherwise be the only candidate: all daemons would send it all their new flows,
// far beyond its capacity.
void DirectTargets::addLapsed(Candidates &candidates) const
{
    std::vector<DirectTarget *> &known = candidates.known;
    if (has(Mechanism::LapsedAlike) && candidates.lapsed.size() > known.size())
        known.insert(known.end(), candidates.lapsed.begin(), candidates.lapsed.end());
}

DirectTarget *DirectTargets::chooseByOwnCounts(const Choice &choice)
{
    const bool prefersLocal = has(Mechanism::OwnDomainFirst);
    const auto isNear
        = [&](const std::string &domain) { return !prefersLocal || domain == m_domain; };
    DirectTarget *near = chooseIn(choice, isNear);
    const auto busy = [this](const DirectTarget &target) {
        const double slots = std::max<std::uint32_t>(target.entry.slots, 1);
        return target.load() / slots > m_settings.spillAbove;
    };
    if (near && !busy(*near))
        return near;
    DirectTarget *far = chooseIn(choice, [&](const auto &domain) { return !isNear(domain); });
    return far && (!near || far->load() < near->load()) ? far : near;
}

DirectTarget *DirectTargets::choose(const FlowRequest &request, TimePoint now, Random &random)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return nullptr;
    const bool draws = !planOf(request.service).reservations.empty();
    const Choice choice{request, found->second,
                        draws ? boost::random::uniform_01<double>{}(random) : 0, now, random};
    DirectTarget *best = chooseByShares(choice);
    m_lastResort.clear();
    if (!best)
        best = chooseByOwnCounts(choice);
    // Where no target seems to answer, a fault of this daemon or its network is more likely.
    if (!best)
        best = leastLoaded(m_lastResort, now, random);
    if (best && state(*best) == DirectTargetState::Suspect)
        best->trialAt = now;
    if (best && coldLimit(*best, now))
        m_cold.placed(best->entry.id, now);
    return best;
}

const DirectTarget *DirectTargets::drawResponsive(ServiceId service, Random &random) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    const auto local = found->second.find(m_domain);
    if (local == found->second.end())
        return nullptr;
    for (int tries = 0; tries < MaxDraws; ++tries) {
        const DirectTarget &target = *drawOne(local->second.all, random);
        if (!target.probePending && state(target) == DirectTargetState::Healthy)
            return &target;
    }
    return nullptr;
}

} // namespace baobabtrail
