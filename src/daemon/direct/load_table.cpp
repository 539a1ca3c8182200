#include "daemon/direct/load_table.h"

#include "daemon/direct/decimals.h"

#include <algorithm>
#include <optional>
#include <string>

namespace baobabtrail::daemon {

namespace {

constexpr const char *NotKnown = "-";

/// \return The work in flight by priority of its routes, as in "1:12.50 2:80.00".
[[nodiscard]] std::string byPriority(const DomainLoad &load)
{
    std::string out;
    for (const auto &[priority, inFlight] : load.byPriority) {
        out += out.empty() ? "" : " ";
        out += std::to_string(priority) + ':' + decimals(inFlight);
    }
    return out.empty() ? NotKnown : out;
}

[[nodiscard]] std::string shareOf(const ServicePlan &plan, const std::string &domain,
                                  const std::string &home)
{
    if (!plan.spills())
        return domain == home ? "1.00" : "0.00";
    const auto found = std::find_if(plan.shares.begin(), plan.shares.end(),
                                    [&](const DomainShare &each) { return each.domain == domain; });
    return decimals(found == plan.shares.end() ? 0 : found->share);
}

/// \return Average time of an answer in milliseconds.
[[nodiscard]] std::string answerTime(const DomainLoad &load)
{
    constexpr double millisecondsPerSecond = 1000;
    return load.answers > 0 ? decimals(millisecondsPerSecond * load.answerSeconds / load.answers)
                            : NotKnown;
}

[[nodiscard]] std::string reservedIn(const ServicePlan &plan, const std::string &domain)
{
    const auto found = plan.reservations.find(domain);
    return found == plan.reservations.end() ? "0" : std::to_string(found->second.targets);
}

} // namespace

language::Result loadTable(const DirectBackend &backend)
{
    language::Result result;
    result.columns = {"service", "domain",    "slots", "in-flight", "per-slot", "by-priority",
                      "movable", "answer-ms", "share", "reserved",  "age-ms"};
    const DirectRouter &router = backend.node->router();
    const auto &names = router.routes().serviceNames;
    const std::optional<TimePoint> measured = router.planner().measuredAt();
    const double age
        = measured ? std::chrono::duration<double, std::milli>(backend.now - *measured).count() : 0;
    for (const auto &[service, load] : router.planner().loads()) {
        const auto name = names.find(service);
        const ServicePlan &plan = router.targets().planOf(service);
        for (const DomainLoad &domain : load.domains)
            result.rows.push_back({name == names.end() ? NotKnown : name->second, domain.domain,
                                   decimals(domain.slots), decimals(domain.inFlight),
                                   decimals(domain.perSlot()), byPriority(domain),
                                   decimals(domain.movable), answerTime(domain),
                                   shareOf(plan, domain.domain, backend.domain),
                                   reservedIn(plan, domain.domain), decimals(age)});
    }
    return result;
}

} // namespace baobabtrail::daemon
