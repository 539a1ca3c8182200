#include "targets/fleet.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>

using namespace baobabtrail;
using test::Fleet;

namespace {

[[nodiscard]] std::map<TargetId, int> countChoices(Fleet &fleet, int asks)
{
    std::map<TargetId, int> counts;
    for (int i = 0; i < asks; ++i)
        ++counts[fleet.choose()->target];
    return counts;
}

/// Ten targets of which this daemon owns none.
[[nodiscard]] std::unique_ptr<Fleet> withoutOwn()
{
    auto fleet = std::make_unique<Fleet>(10, 3);
    fleet->view.members.erase(fleet->view.members.begin());
    fleet->apply();
    return fleet;
}

} // namespace

// The load of a target was heard once, long ago: none on one, very many on another.
// Neither gets all asks of all daemons, nor none for ever.
Test(placement, staleLoadsNeitherAttractNorStarve)
{
    const auto fleet = withoutOwn();
    for (std::size_t i = 2; i < 10; ++i)
        fleet->table.applyHint({Fleet::target(i), 0.8F, 0.0F}, fleet->now);
    fleet->table.applyHint({Fleet::target(0), 0.0F, 0.0F}, fleet->now);
    fleet->table.applyHint({Fleet::target(1), 50.0F, 0.0F}, fleet->now);
    fleet->now += 5s;
    std::map<TargetId, int> counts;
    for (int i = 0; i < 1000; ++i) {
        // An answer for each ask, so that no owner seems to be silent.
        const TargetId chosen = fleet->choose()->target;
        ++counts[chosen];
        fleet->table.applyHint({Fleet::target(5), 0.8F, 0.0F}, fleet->now);
        fleet->table.applyHint({Fleet::target(6), 0.8F, 0.0F}, fleet->now);
        fleet->now += 1ms;
    }
    cr_assert_lt(counts[Fleet::target(0)], 250);
    cr_assert_gt(counts[Fleet::target(1)], 30);
}

// A fresh low load draws the next asks, but what was sent since counts: no herd of our own.
Test(placement, ownAsksCountUntilTheNextHint)
{
    const auto fleet = withoutOwn();
    for (std::size_t i = 2; i < 10; ++i)
        fleet->targetConfig(i).state = TargetState::Draining;
    fleet->apply();
    fleet->table.applyHint({Fleet::target(0), 0.0F, 0.0F}, fleet->now);
    fleet->table.applyHint({Fleet::target(1), 5.0F, 0.0F}, fleet->now);
    const std::map<TargetId, int> counts = countChoices(*fleet, 30);
    cr_assert_eq(counts.at(Fleet::target(0)), 20);
}

// Guards against new work for targets of an evacuated failure domain, on whichever way they look
// least loaded.
Test(placement, targetsOfAnEvacuatedDomainGetNothing)
{
    const auto fleet = withoutOwn();
    for (std::size_t i = 2; i < 10; ++i)
        fleet->targetConfig(i).evacuated = true;
    fleet->apply();
    for (std::size_t i = 0; i < 10; ++i)
        fleet->table.applyHint({Fleet::target(i), i < 2 ? 5.0F : 0.0F, 0.0F}, fleet->now);
    const std::map<TargetId, int> counts = countChoices(*fleet, 30);
    cr_assert_eq(counts.at(Fleet::target(0)) + counts.at(Fleet::target(1)), 30);
}

// An owner died and the view still shows it alive; asks to it get no answer.
// After three of them this daemon asks others, and tries the silent one once a second.
Test(placement, silentOwnersAreAvoided)
{
    Fleet fleet{10, 2};
    fleet.view.members.erase(fleet.view.members.begin());
    fleet.view.members.push_back(Fleet::member(3, "raml"));
    fleet.apply();
    const auto ownerOf = [&](TargetId target) { return fleet.view.ownerOf(target)->id; };
    int toSilent = 0;
    for (int i = 0; i < 400; ++i) {
        const TargetId chosen = fleet.choose()->target;
        if (ownerOf(chosen) == DaemonId{3})
            ++toSilent;
        else
            fleet.table.applyHint({chosen, 0.8F, 0.0F}, fleet.now);
        fleet.now += 10ms;
    }
    cr_assert_lt(toSilent, 25, "%d of 400", toSilent);
    cr_assert_gt(toSilent, 4, "it is tried now and then");
}

Test(placement, drainingRetiringAndCutGetNothing)
{
    for (const TargetState state :
         {TargetState::Draining, TargetState::Retiring, TargetState::Cut}) {
        Fleet fleet{2};
        fleet.targetConfig(0).state = state;
        fleet.apply();
        cr_assert_not(fleet.table.takesWork(Fleet::target(0), fleet.now));
        cr_assert_not(fleet.table.takesFlow(Fleet::target(0), fleet.now));
        cr_assert_eq(countChoices(fleet, 50)[Fleet::target(0)], 0);
        for (std::uint64_t flow = 1; flow < 50; ++flow)
            cr_assert(fleet.chooseFlow(flow)->target == Fleet::target(1));
        const auto others = withoutOwn();
        others->targetConfig(0).state = state;
        others->apply();
        cr_assert_eq(countChoices(*others, 200)[Fleet::target(0)], 0);
    }
}

Test(placement, anAskMovesOnToTargetsThatDidNotDecline)
{
    Fleet fleet{3};
    const std::vector<LoadHint> declined{{Fleet::target(0), 1.5F, 0.0F},
                                         {Fleet::target(1), 1.0F, 0.0F}};
    cr_assert(fleet.choose(declined)->target == Fleet::target(2));
    for (int i = 0; i < 8; ++i)
        fleet.table.attemptStarted(Fleet::target(2), fleet.now);
    cr_assert_not(fleet.choose(declined), "it had better wait than go where more wait");
}

// The own domain's targets are full. Asks go to the owner in the other domain as long as all here
// stay full, and not back and forth at the border of being full.
Test(placement, spillsOverWithHysteresisAndNamesTheRemoteOwner)
{
    Fleet fleet{1};
    fleet.add(1, "smouha");
    fleet.view.remote["smouha"] = {Fleet::member(8, "smouha"), Fleet::member(9, "smouha")};
    fleet.apply();
    View smouha;
    smouha.members = fleet.view.remote["smouha"];
    cr_assert(fleet.choose()->own);
    fleet.table.attemptStarted(Fleet::target(0), fleet.now);
    fleet.table.attemptStarted(Fleet::target(0), fleet.now);
    fleet.table.applyHint({Fleet::target(1), 0.0F, 0.0F}, fleet.now);
    const std::optional<PlacementChoice> spilled = fleet.choose();
    cr_assert(spilled->target == Fleet::target(1));
    cr_assert(spilled->owner == smouha.ownerOf(Fleet::target(1))->address);
    fleet.table.attemptEnded(Fleet::target(0), AttemptEnd::Done, 20ms, nullptr, fleet.now);
    fleet.table.attemptEnded(Fleet::target(0), AttemptEnd::Done, 20ms, nullptr, fleet.now);
    cr_assert(fleet.choose()->own);
}

Test(placement, withoutTargetsHereTheOtherDomainServes)
{
    Fleet fleet{1};
    fleet.add(1, "smouha");
    fleet.view.remote["smouha"] = {Fleet::member(8, "smouha")};
    fleet.targetConfig(0).state = TargetState::Draining;
    fleet.apply();
    cr_assert(fleet.choose()->target == Fleet::target(1));
    cr_assert(fleet.chooseFlow(1)->target == Fleet::target(1));
    fleet.view.remote.clear();
    fleet.apply();
    cr_assert_not(fleet.choose());
}

// The accept of an open was lost and the caller sends it again, through another daemon whose loads
// differ a little. Both opens find the same target; the third attempt moves on.
Test(flows, aRepeatedOpenFindsTheSameTarget)
{
    const auto one = withoutOwn();
    const auto other = withoutOwn();
    int moved = 0;
    for (std::uint64_t flow = 1; flow <= 200; ++flow) {
        for (std::size_t i = 0; i < 10; ++i) {
            one->table.applyHint({Fleet::target(i), 0.0F, 20.0F}, one->now);
            other->table.applyHint({Fleet::target(i), 0.0F, i % 2 == 0 ? 20.1F : 19.9F},
                                   other->now);
        }
        const TargetId first = one->chooseFlow(flow)->target;
        cr_assert(other->chooseFlow(flow, 1)->target == first);
        moved += one->chooseFlow(flow, 2)->target == first ? 0 : 1;
    }
    cr_assert_eq(moved, 200);
}

// A target says that it holds none of the flows that its owner just placed there, or hundreds of
// thousands. Its load is taken for a usual one: it gets neither all flows nor none.
Test(flows, falseReportsOfConnectionsAreNotBelieved)
{
    for (const std::uint32_t claim : {0U, 100000U}) {
        Fleet fleet{6, 2};
        const TargetId own = fleet.table.owned().front();
        std::size_t index = 0;
        while (fleet.table.owns(Fleet::target(index)))
            ++index;
        const TargetId other = Fleet::target(index);
        for (int i = 0; i < 100; ++i)
            fleet.table.applyHint({other, 0.0F, 10.0F}, fleet.now);
        for (int i = 0; i < 1000; ++i) {
            fleet.table.flowOffered(own, fleet.now);
            fleet.table.flowAccepted(own, {0, 0, claim}, fleet.now);
            fleet.now += 5ms;
        }
        const float load = fleet.table.loadOf(own, fleet.now).flows;
        cr_assert(load > 8.0F && load < 12.0F, "claim %u: %f", claim, static_cast<double>(load));
    }
}

// A target always reports that it is full. Its owner knows what runs there: at most half a target
// is believed, so that it keeps getting work.
Test(placement, aTargetThatAlwaysReportsToBeFullKeepsWorking)
{
    Fleet fleet{2};
    const LoadReport full{1000, 1000, 0};
    for (int i = 0; i < 200; ++i)
        fleet.attempt(0, AttemptEnd::Done, 20ms, &full);
    cr_assert_leq(fleet.table.loadOf(Fleet::target(0), fleet.now).requests, 0.5F);
    cr_assert(fleet.table.slotFree(Fleet::target(0), fleet.now));
}

// A target with two thousand flows dies. Its callers' keep-alives stay unanswered and every daemon
// is asked whether to reopen. A first few are told so, spread over seconds, then so many a second.
Test(reopening, aDeadTargetsFlowsAreNotReopenedAtOnce)
{
    Fleet fleet{3};
    fleet.now += 11s;
    cr_assert_not(fleet.table.reopenDelay(Fleet::target(0), 2, fleet.now, fleet.random),
                  "it may be back in a moment");
    int reopened = 0;
    Duration longest{0};
    const TimePoint begin = fleet.now;
    for (int i = 0; i < 20000; ++i) {
        const std::optional<Duration> wait
            = fleet.table.reopenDelay(Fleet::target(0), 10, fleet.now, fleet.random);
        fleet.now += 500us;
        reopened += wait ? 1 : 0;
        longest = std::max(longest, wait.value_or(Duration{0}));
    }
    const auto seconds = std::chrono::duration<double>(fleet.now - begin).count();
    cr_assert_leq(reopened, 10 + 20 * seconds);
    cr_assert_geq(reopened, 100);
    cr_assert_gt(longest, 1s);
}

// Many targets die together, as with their domain: the daemon's own budget bounds the sum.
Test(reopening, aDaemonsBudgetBoundsAllTargets)
{
    Fleet fleet{50};
    fleet.now += 11s;
    int reopened = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < 50; ++i) {
            const auto wait
                = fleet.table.reopenDelay(Fleet::target(i), 10, fleet.now, fleet.random);
            reopened += wait ? 1 : 0;
        }
    }
    cr_assert_eq(reopened, 50);
}

// One flow is silent while its target answers others: the target lost track of it.
Test(reopening, aSilentFlowOfALiveTargetIsReopenedSoon)
{
    Fleet fleet{3};
    fleet.table.heardFrom(Fleet::target(0), fleet.now);
    const auto wait = fleet.table.reopenDelay(Fleet::target(0), 2, fleet.now, fleet.random);
    cr_assert(wait && *wait <= 500ms);
}
