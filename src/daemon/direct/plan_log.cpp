/// \file
/// \brief Log events for what begins and ends in the placement of new flows.

#include "daemon/direct/decimals.h"
#include "daemon/direct/direct_log.h"

#include <string>

namespace baobabtrail::daemon {

namespace {

/// \return Requests in flight per slot by failure domain, as in "alx-raml:2.10 alx-agami:0.35".
[[nodiscard]] std::string loadText(const ServiceLoad &load)
{
    std::string out;
    for (const DomainLoad &domain : load.domains) {
        out += out.empty() ? "" : " ";
        out += domain.domain + ':' + decimals(domain.perSlot());
    }
    return out;
}

[[nodiscard]] std::string sharesText(const ServicePlan &plan)
{
    std::string out;
    for (const DomainShare &share : plan.shares) {
        out += out.empty() ? "" : " ";
        out += share.domain + ':' + decimals(share.share);
    }
    return out;
}

[[nodiscard]] std::string reservedText(const ServicePlan &plan)
{
    std::string out;
    for (const auto &[domain, reservation] : plan.reservations) {
        out += out.empty() ? "" : " ";
        out += domain + ':' + std::to_string(reservation.targets);
    }
    return out;
}

[[nodiscard]] std::string serviceName(const DirectNode &node, ServiceId service)
{
    const auto &names = node.router().routes().serviceNames;
    const auto found = names.find(service);
    return found == names.end() ? std::string{} : found->second;
}

} // namespace

void DirectLog::write(const PlanChange &change, const DirectNode &node, TimePoint now)
{
    const ServicePlan &before = change.before;
    const ServicePlan &plan = change.plan;
    if (before.spills() != plan.spills())
        writePlanEvent(plan.spills() ? "spill_began" : "spill_ended", plan.spills(), change, node,
                       now);
    if (before.reservations != plan.reservations) {
        const bool reserves = !plan.reservations.empty();
        writePlanEvent(reserves ? "reserved" : "reservation_ended", reserves, change, node, now);
    }
}

void DirectLog::writePlanEvent(std::string_view kind, bool begins, const PlanChange &change,
                               const DirectNode &node, TimePoint now)
{
    admit(Part::Targets, kind, now, [&] {
        LogEvent event{begins ? Severity::Warning : Severity::Info, Part::Targets, kind};
        event.field("service", serviceName(node, change.service))
            .field("per_slot", loadText(change.load))
            .field("shares", sharesText(change.plan))
            .field("reserved", reservedText(change.plan))
            .field("usage_age_ms", change.age);
        return event;
    });
}

} // namespace baobabtrail::daemon
