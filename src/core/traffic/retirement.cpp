#include "core/traffic/retirement.h"

#include <algorithm>
#include <string>

namespace baobabtrail {

namespace {

constexpr Duration CheckPeriod = 1s;
/// How long a target has to stay idle before its removal: it may still accept a flow that another
/// daemon offered before it knew of the retirement, after a report of no flows.
constexpr Duration MinIdleTime = 5s;
constexpr Duration FirstBackOff = 5s;
constexpr Duration MaxBackOff = 60s;
/// A load report older than this is not taken as evidence that the target is idle.
constexpr Duration MaxReportAge = 5s;

} // namespace

void Retirement::configure(Turn &turn)
{
    const std::map<TargetId, Candidate> before = std::move(m_candidates);
    m_candidates.clear();
    m_nextCheck.reset();
    for (const auto &[serviceId, service] : m_context.config->services) {
        for (const auto &[id, target] : service.targets) {
            if (target.state != TargetState::Retiring || !m_context.targets.owns(id))
                continue;
            const auto found = before.find(id);
            if (found != before.end())
                m_candidates.insert(*found);
            else
                m_candidates[id].service = serviceId;
        }
    }
    if (!m_candidates.empty())
        m_nextCheck = turn.now + CheckPeriod;
}

void Retirement::advance(Turn &turn)
{
    if (!m_nextCheck || *m_nextCheck > turn.now)
        return;
    m_nextCheck = turn.now + CheckPeriod;
    for (auto &[target, candidate] : m_candidates) {
        if (!isIdle(target, candidate, turn.now)) {
            candidate.idleSince.reset();
            continue;
        }
        if (!candidate.idleSince)
            candidate.idleSince = turn.now;
        if (turn.now < *candidate.idleSince + MinIdleTime || turn.now < candidate.proposeAt)
            continue;
        propose(target, candidate, turn);
    }
}

bool Retirement::isIdle(TargetId target, const Candidate &, TimePoint now) const
{
    const std::optional<TargetStatus> status = m_context.targets.status(target, now);
    if (!status || status->health == TargetHealth::Unverified || status->reportAge > MaxReportAge)
        return false;
    const LoadReport &load = status->reported;
    return load.connections == 0 && load.running == 0 && load.queued == 0 && !m_inUse(target);
}

void Retirement::propose(TargetId target, Candidate &candidate, Turn &turn)
{
    const ServiceConfig *service = m_context.config->service(candidate.service);
    const TargetConfig *config = m_context.target(target);
    if (!service || !config)
        return;
    // Every daemon that believes it owns the target uses the same id: the log applies it once.
    const std::string changeId = "remove-" + std::to_string(target.value()) + "-"
                                 + std::to_string(config->generation.value());
    const TargetName name{{service->workspace, service->name}, config->name};
    turn.add(ProposeCommand{changeId, RemoveTarget{name, config->generation}});
    candidate.backOff = std::clamp<Duration>(candidate.backOff * 2, FirstBackOff, MaxBackOff);
    candidate.proposeAt = turn.now + m_context.jittered(candidate.backOff);
}

} // namespace baobabtrail
