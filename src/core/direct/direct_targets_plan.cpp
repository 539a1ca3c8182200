/// \file
/// \brief How DirectTargets follows the plans that were decided from the usage of all daemons.

#include "core/direct/direct_targets.h"
#include "core/impl/hash.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace baobabtrail {

std::map<ServiceId, ServicePlan> DirectTargets::setPlans(std::map<ServiceId, ServicePlan> plans,
                                                         TimePoint now)
{
    std::swap(m_plans, plans);
    const auto reserves = [](const auto &item) { return !item.second.reservations.empty(); };
    if (std::any_of(plans.begin(), plans.end(), reserves)) {
        for (auto &[id, target] : m_targets)
            target.reserved = false;
    }
    for (const auto &[service, plan] : m_plans)
        markReserved(service, plan, now);
    return plans;
}

const ServicePlan &DirectTargets::planOf(ServiceId service) const noexcept
{
    static const ServicePlan none;
    const auto found = m_plans.find(service);
    return found == m_plans.end() ? none : found->second;
}

// As choose() has it, lapsed targets count while they are the majority: after an outage of the
// store the first target that registers again would otherwise look several times full.
std::map<std::string, DomainCapacity> DirectTargets::capacityOf(ServiceId service,
                                                                TimePoint now) const
{
    std::map<std::string, DomainCapacity> known;
    std::map<std::string, DomainCapacity> lapsed;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return known;
    for (const auto &[domain, targets] : found->second) {
        for (const DirectTarget *target : targets.all) {
            const bool takes = takesFlows(*target, now);
            if (!takes && (state(*target) != DirectTargetState::Lapsed || target->unanswered > 0))
                continue;
            DomainCapacity &capacity = (takes ? known : lapsed)[domain];
            ++capacity.targets;
            capacity.slots += std::max<std::uint32_t>(target->entry.slots, 1);
        }
    }
    for (const auto &[domain, capacity] : lapsed) {
        DomainCapacity &all = known[domain];
        if (!has(Mechanism::LapsedAlike) || capacity.targets <= all.targets)
            continue;
        all.targets += capacity.targets;
        all.slots += capacity.slots;
    }
    return known;
}

// The order comes from the ids alone, so that daemons whose counts differ a little reserve the same
// targets but for the last ones.
void DirectTargets::markReserved(ServiceId service, const ServicePlan &plan, TimePoint now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    for (const auto &[domain, reservation] : plan.reservations) {
        const auto listed = found->second.find(domain);
        if (listed == found->second.end())
            continue;
        std::vector<std::pair<std::uint64_t, DirectTarget *>> ordered;
        for (DirectTarget *target : listed->second.all) {
            if (takesFlows(*target, now))
                ordered.emplace_back(impl::hashPair(target->entry.id.value(), service.value()),
                                     target);
        }
        std::sort(ordered.begin(), ordered.end());
        const std::size_t count = std::min(reservation.targets, ordered.size());
        for (std::size_t index = 0; index < count; ++index)
            ordered[index].second->reserved = true;
    }
}

void DirectTargets::applyReservations(const FlowRequest &request, double drawn,
                                      std::vector<DirectTarget *> &among) const
{
    const ServicePlan &plan = planOf(request.service);
    if (plan.reservations.empty())
        return;
    const auto isMeant = [&](const DirectTarget *target) {
        const auto found = plan.reservations.find(target->entry.domain);
        if (found == plan.reservations.end())
            return true;
        const bool isUrgent = request.priority <= found->second.priority;
        if (isUrgent && drawn >= found->second.share)
            return true;
        return target->reserved == isUrgent;
    };
    // For each domain by itself: where the reserved targets of one take no flows, its other targets
    // serve the urgent, and the reverse.
    std::set<std::string_view> served;
    for (const DirectTarget *target : among) {
        if (isMeant(target))
            served.insert(target->entry.domain);
    }
    std::erase_if(among, [&](const DirectTarget *target) {
        return served.contains(target->entry.domain) && !isMeant(target);
    });
}

DirectTarget *DirectTargets::chooseByShares(const Choice &choice)
{
    const ServicePlan &plan = planOf(choice.request.service);
    if (!plan.spills())
        return nullptr;
    double drawn = boost::random::uniform_01<double>{}(choice.random);
    for (const DomainShare &share : plan.shares) {
        drawn -= share.share;
        if (drawn >= 0)
            continue;
        return chooseIn(choice, [&](const std::string &domain) { return domain == share.domain; });
    }
    return nullptr;
}

} // namespace baobabtrail
