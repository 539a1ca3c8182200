/// \file
/// \brief Metrics of the load that all daemons report, and of the plans that follow from it.

#include "daemon/direct/direct_metrics.h"

namespace baobabtrail::daemon {

namespace {

/// Services with samples of their own; each has some for each failure domain.
constexpr std::size_t MaxLoadedServices = 64;

[[nodiscard]] std::string_view nameOf(ServiceId service, const RouteTable &routes)
{
    const auto found = routes.serviceNames.find(service);
    return found == routes.serviceNames.end() ? std::string_view{"none"}
                                              : std::string_view{found->second};
}

} // namespace

void DirectMetrics::planChanged(const PlanChange &change, const RouteTable &routes)
{
    ++entryOf(change.service, routes).planChanges;
}

void DirectMetrics::writeLoads(Exposition &page, const DirectNode &node) const
{
    const DirectRouter &router = node.router();
    const auto forEachLoad = [&](const auto &write) {
        std::size_t written = 0;
        for (const auto &[service, load] : router.planner().loads()) {
            if (++written > MaxLoadedServices)
                return;
            write(nameOf(service, router.routes()), load, router.targets().planOf(service));
        }
    };
    page.family("baobabtrail_domain_load", "gauge",
                "Requests in flight per slot, of all daemons together.");
    forEachLoad([&](std::string_view name, const ServiceLoad &load, const ServicePlan &) {
        for (const DomainLoad &domain : load.domains)
            page.sample({{"service", name}, {"domain", domain.domain}}, domain.perSlot());
    });
    page.family("baobabtrail_domain_share", "gauge",
                "Share of this daemon's new flows for each failure domain, while it spills.");
    forEachLoad([&](std::string_view name, const ServiceLoad &, const ServicePlan &plan) {
        for (const DomainShare &share : plan.shares)
            page.sample({{"service", name}, {"domain", share.domain}}, share.share);
    });
    page.family("baobabtrail_reserved_targets", "gauge",
                "Targets that are reserved for urgent requests.");
    forEachLoad([&](std::string_view name, const ServiceLoad &, const ServicePlan &plan) {
        for (const auto &[domain, reservation] : plan.reservations)
            page.sample({{"service", name}, {"domain", domain}},
                        static_cast<double>(reservation.targets));
    });
    page.family("baobabtrail_plan_changes_total", "counter",
                "Begins and ends of spill and reservations.");
    for (const auto &[name, service] : m_services)
        page.sample({{"service", name}}, static_cast<double>(service.planChanges));
}

} // namespace baobabtrail::daemon
