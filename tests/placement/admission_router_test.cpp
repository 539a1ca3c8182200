#include "support/direct_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

[[nodiscard]] DirectSettings admitting(bool admit = true)
{
    DirectSettings settings;
    settings.placement.admit = admit;
    return settings;
}

/// \return Usage of all daemons with eight requests in flight for each slot, which lowers the rate
/// to 0.35.
[[nodiscard]] UsageView overload(TimePoint measuredAt)
{
    UsageView view;
    view.daemons = 10;
    view.measuredAt = measuredAt;
    view.usage[{DirectFleet::service(), "alx-raml", "alx-raml"}]
        = {.movable = 80, .asked = 1000, .admitted = 1000};
    return view;
}

/// \return Openings of 200 callers that were reset.
[[nodiscard]] int countRefused(DirectFleet &fleet, std::uint16_t first = 0)
{
    int refused = 0;
    for (std::uint16_t caller = first; caller < first + 200; ++caller)
        refused += std::holds_alternative<AbortFlow>(fleet.route(DirectFleet::opening(caller)));
    return refused;
}

[[nodiscard]] DirectFleet &withTargets(DirectFleet &fleet)
{
    for (std::uint64_t id = 1; id <= 5; ++id)
        fleet.add(id);
    return fleet;
}

} // namespace

// Guards against openings that wait for a target that can't serve them: they are refused at once.
Test(admissionRouter, refusesAShareOfTheOpenings)
{
    DirectFleet fleet{admitting()};
    const UsageView view = overload(fleet.now);
    withTargets(fleet).router().applyUsage(&view, fleet.now);
    (void)fleet.router().takeUsage(fleet.now);
    const int refused = countRefused(fleet);
    cr_assert(refused > 110 && refused < 150, "%d", refused);
    cr_assert(fleet.causes.end()
              != std::find(fleet.causes.begin(), fleet.causes.end(), SegmentCause::Overloaded));
    const UsageTable usage = fleet.router().takeUsage(fleet.now + 250ms);
    const Usage &counted = usage.at({DirectFleet::service(), "alx-raml", "alx-raml"});
    cr_assert(counted.asked == 800 && counted.admitted == 4 * (200 - refused));
}

// Guards against refusals on usage that is lost or old.
Test(admissionRouter, withoutRecentUsageNothingIsRefused)
{
    DirectFleet fleet{admitting()};
    const UsageView view = overload(fleet.now);
    withTargets(fleet).router().applyUsage(&view, fleet.now);
    fleet.now += 1001ms;
    cr_assert(countRefused(fleet) == 0);
    fleet.router().applyUsage(&view, fleet.now);
    cr_assert(countRefused(fleet, 200) == 0);
    fleet.router().applyUsage(nullptr, fleet.now);
    cr_assert(countRefused(fleet, 400) == 0);
}

// Guards against refusals by a daemon whose directory is out of date, and where it is off.
Test(admissionRouter, refusesNothingWithAnOldDirectoryOrWhenOff)
{
    DirectFleet old{admitting()};
    const UsageView view = overload(old.now);
    withTargets(old).router().applyUsage(&view, old.now);
    old.router().setFresh(false);
    cr_assert(countRefused(old) == 0);
    DirectFleet off{admitting(false)};
    withTargets(off).router().applyUsage(&view, off.now);
    cr_assert(countRefused(off) == 0);
}

// Guards against flows that were admitted and are refused at a copy of their opening.
Test(admissionRouter, copiesAreNeverRefused)
{
    DirectFleet fleet{admitting()};
    const UsageView view = overload(fleet.now);
    withTargets(fleet).router().applyUsage(&view, fleet.now);
    for (std::uint16_t caller = 0; caller < 200; ++caller)
        cr_assert(!fleet.open(caller, 1).target.isNull());
}

// Guards against choices that differ from those without admission while there is no overload.
Test(admissionRouter, choosesTheSameTargetsWithoutOverload)
{
    DirectFleet with{admitting()};
    DirectFleet without{admitting(false)};
    UsageView view = overload(with.now);
    view.usage.begin()->second.movable = 15;
    for (DirectFleet *fleet : {&with, &without})
        withTargets(*fleet).router().applyUsage(&view, fleet->now);
    for (std::uint16_t caller = 0; caller < 500; ++caller)
        cr_assert(with.establish(caller).target == without.establish(caller).target);
}

// Guards against flows for a target that resets them, being at its limit by this daemon's flows
// alone.
Test(admissionRouter, aTargetNearItsLimitOfFlowsIsNoCandidate)
{
    DirectFleet fleet{admitting()};
    auto routes = std::make_shared<RouteTable>(*DirectFleet::routes(2));
    routes->flowLimits[DirectFleet::service()] = 10;
    fleet.router().setRoutes(routes);
    fleet.add(1);
    for (std::uint16_t caller = 0; caller < 9; ++caller)
        cr_assert(fleet.establish(caller).target == TargetId{1});
    cr_assert(fleet.open(9).target.isNull());
    fleet.add(2);
    cr_assert(fleet.open(10).target == TargetId{2});
    (void)fleet.router().takeUsage(fleet.now);
    const UsageTable usage = fleet.router().takeUsage(fleet.now + 250ms);
    cr_assert(usage.at({DirectFleet::service(), "alx-raml", "alx-raml"}).flows == 9);
}
