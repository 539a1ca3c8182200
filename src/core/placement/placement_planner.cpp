#include "core/placement/placement_planner.h"

#include "core/placement/reservation.h"
#include "core/placement/spill.h"

#include <algorithm>
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

/// Requests in flight for each that is answered later on. More than one, as answers show a growing
/// load one answer time late.
constexpr double MaxInFlightPerAnswered = 1.5;

/// \return The work without requests that will not be answered.
///
/// A target that resets a flow tells its caller alone, so that its request counts until it times
/// out. By Little's law the answer times of a second add up to the answered requests in flight.
[[nodiscard]] Usage answeredPart(const Usage &counted) noexcept
{
    Usage out = counted;
    const double credible = MaxInFlightPerAnswered * counted.answerSeconds;
    if (counted.answers <= 0 || counted.inFlight() <= credible)
        return out;
    const double part = credible / counted.inFlight();
    out.movable *= part;
    out.pinned *= part;
    return out;
}

[[nodiscard]] std::map<ServiceId, ServiceLoad> loadsOf(const UsageTable &usage)
{
    std::map<ServiceId, ServiceLoad> out;
    for (const auto &[key, counted] : usage) {
        const Usage answered = answeredPart(counted);
        ServiceLoad &load = out[key.service];
        load.service = key.service;
        domainOf(load, key.callers).movable += answered.movable;
        DomainLoad &targets = domainOf(load, key.targets);
        targets.pinned += answered.pinned;
        targets.inFlight += counted.inFlight();
        targets.byPriority[key.priority] += counted.inFlight();
        targets.answers += counted.answers;
        targets.answerSeconds += counted.answerSeconds;
    }
    return out;
}

void addCapacity(ServiceLoad &load, const DirectTargets &targets, TimePoint now)
{
    for (const auto &[name, capacity] : targets.capacityOf(load.service, now)) {
        DomainLoad &domain = domainOf(load, name);
        domain.targets = capacity.targets;
        domain.slots = capacity.slots;
    }
}

/// \return Whether no failure domain has room for the excess of another.
[[nodiscard]] bool isSaturatedEverywhere(const ServiceLoad &load, const PlacementSettings &settings)
{
    return std::all_of(load.domains.begin(), load.domains.end(), [&](const DomainLoad &domain) {
        return domain.slots <= 0 || domain.perSlot() >= settings.saturatedAt;
    });
}

/// \return Whether both plans do the same, though maybe not for the same share of the flows.
[[nodiscard]] bool alike(const ServicePlan &a, const ServicePlan &b)
{
    return a.spills() == b.spills() && a.reservations == b.reservations;
}

} // namespace

void PlacementPlanner::update(const UsageView *view, DirectTargets &targets, TimePoint now,
                              const std::function<void(const PlanChange &)> &changed)
{
    const bool isNew = view && m_measuredAt != view->measuredAt;
    m_loads = view ? loadsOf(view->usage) : std::map<ServiceId, ServiceLoad>{};
    m_measuredAt = view ? std::optional{view->measuredAt} : std::nullopt;
    std::map<ServiceId, ServicePlan> plans;
    for (auto &[service, load] : m_loads) {
        addCapacity(load, targets, now);
        ServicePlan plan = planFor(load, targets.planOf(service), isNew);
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

// While another domain has room, spill relieves the urgent as well, and reserved slots would idle.
//
// Reservations go step by step, once for a report: the same one again doesn't show what the last
// step has changed.
ServicePlan PlacementPlanner::planFor(const ServiceLoad &load, const ServicePlan &before,
                                      bool isNew) const
{
    ServicePlan plan;
    if (m_settings.spill)
        plan.shares = spillShares(m_home, load, m_settings);
    if (!m_settings.reserve)
        return plan;
    if (!isNew) {
        plan.reservations = before.reservations;
        return plan;
    }
    const bool begins = !m_settings.spill || isSaturatedEverywhere(load, m_settings);
    for (const DomainLoad &domain : load.domains) {
        if (!begins && !before.reservations.contains(domain.domain))
            continue;
        const auto old = before.reservations.find(domain.domain);
        const Reservation reservation = reservationFor(
            domain, domain.targets, old == before.reservations.end() ? Reservation{} : old->second,
            m_settings);
        if (reservation.targets > 0)
            plan.reservations.emplace(domain.domain, reservation);
    }
    return plan;
}

} // namespace baobabtrail
