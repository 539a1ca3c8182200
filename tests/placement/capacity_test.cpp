#include "support/direct_fleet.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// Guards against a domain that looks several times full after an outage of the store, when the
// first of its targets has registered again and the others not yet.
Test(capacity, lapsedTargetsCountWhileTheyAreTheMajority)
{
    DirectFleet fleet;
    for (std::uint64_t id = 1; id <= 5; ++id)
        fleet.add(id);
    const auto capacity = [&] {
        return fleet.router()
            .targets()
            .capacityOf(DirectFleet::service(), fleet.now)
            .at("alx-raml");
    };
    cr_assert_eq(capacity().targets, 5);
    cr_assert_eq(capacity().slots, 10);
    for (std::uint64_t id = 2; id <= 3; ++id)
        fleet.router().removeTarget(TargetId{id}, true, fleet.now);
    cr_assert_eq(capacity().targets, 3);
    for (std::uint64_t id = 4; id <= 5; ++id)
        fleet.router().removeTarget(TargetId{id}, true, fleet.now);
    cr_assert_eq(capacity().targets, 5);
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    cr_assert_eq(capacity().targets, 4);
}
