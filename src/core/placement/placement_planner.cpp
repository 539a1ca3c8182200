#include "core/placement/placement_planner.h"

#include "core/placement/admission.h"
#include "core/placement/reservation.h"
#include "core/placement/spill.h"

#include <utility>

namespace baobabtrail {

namespace {

/// \return The entry of the domain, which is added where it is missing.
[[nodiscard]] DomainLoad &domainOf(ServiceLoad &load, const std::string &domain)
{
    auto place = load.domains.begin();
    while (place != load.domains.end() && place->domain < domain)
        ++place;
    if (place == load.domains.end() || place->domain != domain)
        place = load.domains.insert(place, DomainLoad{.domain = domain});
    return *place;
}

[[nodiscard]] std::map<ServiceId, ServiceLoad> loadsOf(const UsageTable &usage)
{
    std::map<ServiceId, ServiceLoad> out;
    for (const auto &[key, counted] : usage) {
        ServiceLoad &load = out[key.service];
        load.service = key.service;
        domainOf(load, key.callers).movable += counted.movable;
        DomainLoad &targets = domainOf(load, key.targets);
        targets.pinned += counted.pinned;
        targets.inFlight += counted.inFlight();
        targets.byPriority[key.priority] += counted.inFlight();
        targets.flows += counted.flows;
        if (counted.asked > 0)
            load.openings[key.priority] += {counted.asked, counted.admitted};
    }
    return out;
}

/// \return Whether both plans do the same, though maybe not for the same share of the flows.
[[nodiscard]] bool alike(const ServicePlan &a, const ServicePlan &b)
{
    return a.spills() == b.spills() && a.reservations == b.reservations
           && a.admission.admitsAll() == b.admission.admitsAll();
}

} // namespace

void PlacementPlanner::update(const UsageView *view, DirectTargets &targets, TimePoint now,
                              const std::function<void(const PlanChange &)> &changed)
{
    m_loads = view ? loadsOf(view->usage) : std::map<ServiceId, ServiceLoad>{};
    m_measuredAt = view ? std::optional{view->measuredAt} : std::nullopt;
    std::map<ServiceId, ServicePlan> plans;
    for (auto &[service, load] : m_loads) {
        for (const auto &[domain, slots] : targets.slotsByDomain(service, now))
            domainOf(load, domain).slots = slots;
        const std::uint32_t flowLimit = targets.flowLimitOf(service);
        for (DomainLoad &domain : load.domains) {
            if (flowLimit > 0)
                domain.flowLimit
                    = flowLimit
                      * static_cast<double>(targets.countTakingFlows(service, domain.domain, now));
        }
        ServicePlan plan = planFor(load, targets, targets.planOf(service), now);
        if (!plan.empty())
            plans.emplace(service, std::move(plan));
    }
    const std::map<ServiceId, ServicePlan> before = targets.setPlans(std::move(plans), now);
    const Duration age = m_measuredAt ? now - *m_measuredAt : Duration{0};
    const ServiceLoad unknown;
    const auto report = [&](ServiceId service, const ServicePlan &old) {
        const ServicePlan &plan = targets.planOf(service);
        const auto load = m_loads.find(service);
        if (!alike(plan, old))
            changed({service, old, plan, load == m_loads.end() ? unknown : load->second, age});
    };
    for (const auto &[service, plan] : before)
        report(service, plan);
    for (const auto &[service, load] : m_loads) {
        if (!before.contains(service))
            report(service, {});
    }
}

ServicePlan PlacementPlanner::planFor(const ServiceLoad &load, const DirectTargets &targets,
                                      const ServicePlan &before, TimePoint now) const
{
    ServicePlan plan;
    if (m_settings.spill)
        plan.shares = spillShares(m_home, load, m_settings);
    if (m_settings.admit && m_measuredAt && now - *m_measuredAt <= MaxAgeForAdmission)
        plan.admission = admissionFor(load, before.admission, m_settings);
    if (!m_settings.reserve)
        return plan;
    for (const DomainLoad &domain : load.domains) {
        const auto old = before.reservations.find(domain.domain);
        const std::size_t count = targets.countTakingFlows(load.service, domain.domain, now);
        const Reservation reservation = reservationFor(
            domain, count, old == before.reservations.end() ? Reservation{} : old->second,
            m_settings);
        if (reservation.targets > 0)
            plan.reservations.emplace(domain.domain, reservation);
    }
    return plan;
}

} // namespace baobabtrail
