/// \file
/// \brief How work at the targets is counted for the usage that all daemons report.

#include "core/direct/direct_router.h"

#include <optional>
#include <utility>

namespace baobabtrail {

namespace {

/// An opening without a sign of its target stops counting as load after this long: targets accept
/// flows within milliseconds, however long their queues are, or reset them.
constexpr Duration MaxOpeningTime = 250ms;

} // namespace

void DirectRouter::beginWork(const FlowKey &key, Flow &flow, const DirectTarget &target,
                             bool movable)
{
    endWork(flow);
    flow.work = m_usage.partOf(flow.service, target.entry.domain, promiseOf(key).priority);
    flow.movable = movable;
    m_usage.began(*flow.work, movable);
}

void DirectRouter::endWork(Flow &flow)
{
    if (const auto work = std::exchange(flow.work, std::nullopt))
        m_usage.ended(*work, flow.movable);
}

// A target that resets an opening tells its caller alone. Such openings would count for seconds,
// and a domain whose targets refuse flows would look many times as full as targets can be.
void DirectRouter::endStaleOpenings(TimePoint now)
{
    while (!m_openings.empty() && now - m_openings.front().at >= MaxOpeningTime) {
        const auto found = m_flows.find(m_openings.front().flow);
        m_openings.pop_front();
        if (found == m_flows.end())
            continue;
        Flow &flow = found->second;
        if (flow.state == FlowState::Opening && now - flow.openedAt >= MaxOpeningTime)
            endWork(flow);
    }
}

UsageTable DirectRouter::takeUsage(TimePoint now)
{
    m_usage.advance(now);
    endStaleOpenings(now);
    return m_usage.take();
}

void DirectRouter::applyUsage(const UsageView *view, TimePoint now)
{
    m_planner.update(view, m_targets, now, [this](const PlanChange &change) {
        if (m_observer.planChanged)
            m_observer.planChanged(change);
    });
}

} // namespace baobabtrail
