#include "targets/target_table_fixture.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>

using namespace baobabtrail;
using test::TargetTableFixture;

namespace {

[[nodiscard]] std::map<TargetId, int> countChoices(TargetTableFixture &fixture, int requests)
{
    std::map<TargetId, int> counts;
    for (int i = 0; i < requests; ++i)
        ++counts[fixture.choose()->target];
    return counts;
}

/// Ten targets of which this daemon owns none.
[[nodiscard]] std::unique_ptr<TargetTableFixture> withoutOwnedTargets()
{
    auto fixture = std::make_unique<TargetTableFixture>(10, 3);
    fixture->view.members.erase(fixture->view.members.begin());
    fixture->apply();
    return fixture;
}

} // namespace

// The last hints of two targets are old: no load on one, a very high load on the other. The first
// must not get the requests of all daemons, and the second must not stay without any for ever.
Test(placement, staleLoadsNeitherAttractNorStarve)
{
    const auto fixture = withoutOwnedTargets();
    for (std::size_t i = 2; i < 10; ++i)
        fixture->table.applyHint({TargetTableFixture::target(i), 0.8F, 0.0F}, fixture->now);
    fixture->table.applyHint({TargetTableFixture::target(0), 0.0F, 0.0F}, fixture->now);
    fixture->table.applyHint({TargetTableFixture::target(1), 50.0F, 0.0F}, fixture->now);
    fixture->now += 5s;
    std::map<TargetId, int> counts;
    for (int i = 0; i < 1000; ++i) {
        // An answer for each request, so that no owner seems to be silent.
        const TargetId chosen = fixture->choose()->target;
        ++counts[chosen];
        fixture->table.applyHint({TargetTableFixture::target(5), 0.8F, 0.0F}, fixture->now);
        fixture->table.applyHint({TargetTableFixture::target(6), 0.8F, 0.0F}, fixture->now);
        fixture->now += 1ms;
    }
    cr_assert_lt(counts[TargetTableFixture::target(0)], 250);
    cr_assert_gt(counts[TargetTableFixture::target(1)], 30);
}

// A recent hint of a low load attracts the next requests. Requests sent since must count, or this
// daemon alone would overload the target (thundering herd).
Test(placement, requestsSentSinceTheHintCount)
{
    const auto fixture = withoutOwnedTargets();
    for (std::size_t i = 2; i < 10; ++i)
        fixture->targetConfig(i).state = TargetState::Draining;
    fixture->apply();
    fixture->table.applyHint({TargetTableFixture::target(0), 0.0F, 0.0F}, fixture->now);
    fixture->table.applyHint({TargetTableFixture::target(1), 5.0F, 0.0F}, fixture->now);
    const std::map<TargetId, int> counts = countChoices(*fixture, 30);
    cr_assert_eq(counts.at(TargetTableFixture::target(0)), 20);
}

// Guards against new work for targets of an evacuated failure domain, even if they look least
// loaded.
Test(placement, targetsOfAnEvacuatedDomainGetNothing)
{
    const auto fixture = withoutOwnedTargets();
    for (std::size_t i = 2; i < 10; ++i)
        fixture->targetConfig(i).evacuated = true;
    fixture->apply();
    for (std::size_t i = 0; i < 10; ++i)
        fixture->table.applyHint({TargetTableFixture::target(i), i < 2 ? 5.0F : 0.0F, 0.0F},
                                 fixture->now);
    const std::map<TargetId, int> counts = countChoices(*fixture, 30);
    cr_assert_eq(
        counts.at(TargetTableFixture::target(0)) + counts.at(TargetTableFixture::target(1)), 30);
}

// An owner died while the view still shows it as alive, so requests to it get no answer. After
// three of them this daemon must choose others, and retry the silent one only after a second or
// more.
Test(placement, silentOwnersAreAvoided)
{
    TargetTableFixture fixture{10, 2};
    fixture.view.members.erase(fixture.view.members.begin());
    fixture.view.members.push_back(TargetTableFixture::member(3, "raml"));
    fixture.apply();
    const auto ownerOf = [&](TargetId target) { return fixture.view.ownerOf(target)->id; };
    int toSilent = 0;
    for (int i = 0; i < 400; ++i) {
        const TargetId chosen = fixture.choose()->target;
        if (ownerOf(chosen) == DaemonId{3})
            ++toSilent;
        else
            fixture.table.applyHint({chosen, 0.8F, 0.0F}, fixture.now);
        fixture.now += 10ms;
    }
    cr_assert_lt(toSilent, 25, "%d of 400", toSilent);
    cr_assert_gt(toSilent, 4, "it is retried now and then");
}

Test(placement, drainingRetiringAndCutGetNothing)
{
    for (const TargetState state :
         {TargetState::Draining, TargetState::Retiring, TargetState::Cut}) {
        TargetTableFixture fixture{2};
        fixture.targetConfig(0).state = state;
        fixture.apply();
        cr_assert_not(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
        cr_assert_not(fixture.table.takesFlow(TargetTableFixture::target(0), fixture.now));
        cr_assert_eq(countChoices(fixture, 50)[TargetTableFixture::target(0)], 0);
        for (std::uint64_t flow = 1; flow < 50; ++flow)
            cr_assert(fixture.chooseFlow(flow)->target == TargetTableFixture::target(1));
        const auto others = withoutOwnedTargets();
        others->targetConfig(0).state = state;
        others->apply();
        cr_assert_eq(countChoices(*others, 200)[TargetTableFixture::target(0)], 0);
    }
}

Test(placement, aRequestMovesOnToTargetsThatDidNotDecline)
{
    TargetTableFixture fixture{3};
    const std::vector<LoadHint> declined{{TargetTableFixture::target(0), 1.5F, 0.0F},
                                         {TargetTableFixture::target(1), 1.0F, 0.0F}};
    cr_assert(fixture.choose(declined)->target == TargetTableFixture::target(2));
    for (int i = 0; i < 8; ++i)
        fixture.table.attemptStarted(TargetTableFixture::target(2), fixture.now);
    cr_assert_not(fixture.choose(declined), "it waits rather than go to a longer queue");
}

// The targets of the local domain are full. Requests spill over to the owner in the other domain
// while all local targets stay full, with hysteresis instead of flapping at the threshold.
Test(placement, spillsOverWithHysteresisAndNamesTheRemoteOwner)
{
    TargetTableFixture fixture{1};
    fixture.add(1, "smouha");
    fixture.view.remote["smouha"]
        = {TargetTableFixture::member(8, "smouha"), TargetTableFixture::member(9, "smouha")};
    fixture.apply();
    View smouha;
    smouha.members = fixture.view.remote["smouha"];
    cr_assert(fixture.choose()->own);
    fixture.table.attemptStarted(TargetTableFixture::target(0), fixture.now);
    fixture.table.attemptStarted(TargetTableFixture::target(0), fixture.now);
    fixture.table.applyHint({TargetTableFixture::target(1), 0.0F, 0.0F}, fixture.now);
    const std::optional<PlacementChoice> spilled = fixture.choose();
    cr_assert(spilled->target == TargetTableFixture::target(1));
    cr_assert(spilled->owner == smouha.ownerOf(TargetTableFixture::target(1))->address);
    fixture.table.attemptEnded(TargetTableFixture::target(0), AttemptEnd::Done, 20ms, nullptr,
                               fixture.now);
    fixture.table.attemptEnded(TargetTableFixture::target(0), AttemptEnd::Done, 20ms, nullptr,
                               fixture.now);
    cr_assert(fixture.choose()->own);
}

Test(placement, withoutTargetsHereTheOtherDomainServes)
{
    TargetTableFixture fixture{1};
    fixture.add(1, "smouha");
    fixture.view.remote["smouha"] = {TargetTableFixture::member(8, "smouha")};
    fixture.targetConfig(0).state = TargetState::Draining;
    fixture.apply();
    cr_assert(fixture.choose()->target == TargetTableFixture::target(1));
    cr_assert(fixture.chooseFlow(1)->target == TargetTableFixture::target(1));
    fixture.view.remote.clear();
    fixture.apply();
    cr_assert_not(fixture.choose());
}

// The accept of an open was lost, and the caller retries through another daemon whose loads differ
// a little. Both opens must get the same target; the third attempt gets another one.
Test(flows, aRepeatedOpenFindsTheSameTarget)
{
    const auto one = withoutOwnedTargets();
    const auto other = withoutOwnedTargets();
    int moved = 0;
    for (std::uint64_t flow = 1; flow <= 200; ++flow) {
        for (std::size_t i = 0; i < 10; ++i) {
            one->table.applyHint({TargetTableFixture::target(i), 0.0F, 20.0F}, one->now);
            other->table.applyHint(
                {TargetTableFixture::target(i), 0.0F, i % 2 == 0 ? 20.1F : 19.9F}, other->now);
        }
        const TargetId first = one->chooseFlow(flow)->target;
        cr_assert(other->chooseFlow(flow, 1)->target == first);
        moved += one->chooseFlow(flow, 2)->target == first ? 0 : 1;
    }
    cr_assert_eq(moved, 200);
}

// A target reports none of the flows that its owner just placed there, or a hundred thousand. It
// must count as an average target, so that it gets neither all flows nor none.
Test(flows, falseConnectionReportsAreIgnored)
{
    for (const std::uint32_t claim : {0U, 100000U}) {
        TargetTableFixture fixture{6, 2};
        const TargetId own = fixture.table.owned().front();
        std::size_t index = 0;
        while (fixture.table.owns(TargetTableFixture::target(index)))
            ++index;
        const TargetId other = TargetTableFixture::target(index);
        for (int i = 0; i < 100; ++i)
            fixture.table.applyHint({other, 0.0F, 10.0F}, fixture.now);
        for (int i = 0; i < 1000; ++i) {
            fixture.table.flowOffered(own, fixture.now);
            fixture.table.flowAccepted(own, {0, 0, claim}, fixture.now);
            fixture.now += 5ms;
        }
        const float load = fixture.table.loadOf(own, fixture.now).flows;
        cr_assert(load > 8.0F && load < 12.0F, "claim %u: %f", claim, static_cast<double>(load));
    }
}

// A target always reports that it is full. Its owner knows what runs there and counts the report
// for at most half of the slots, so that the target still gets work.
Test(placement, aTargetThatAlwaysReportsFullStillGetsWork)
{
    TargetTableFixture fixture{2};
    const LoadReport full{1000, 1000, 0};
    for (int i = 0; i < 200; ++i)
        fixture.attempt(0, AttemptEnd::Done, 20ms, &full);
    cr_assert_leq(fixture.table.loadOf(TargetTableFixture::target(0), fixture.now).requests, 0.5F);
    cr_assert(fixture.table.slotFree(TargetTableFixture::target(0), fixture.now));
}

// A target with two thousand flows dies, and the keep-alives of its callers stay unanswered. They
// must not reopen at once: a first burst is spread over seconds, then the rate is limited.
Test(reopening, aDeadTargetsFlowsAreNotReopenedAtOnce)
{
    TargetTableFixture fixture{3};
    fixture.now += 11s;
    cr_assert_not(
        fixture.table.reopenDelay(TargetTableFixture::target(0), 2, fixture.now, fixture.random),
        "it may be back in a moment");
    int reopened = 0;
    Duration longest{0};
    const TimePoint begin = fixture.now;
    for (int i = 0; i < 20000; ++i) {
        const std::optional<Duration> wait = fixture.table.reopenDelay(
            TargetTableFixture::target(0), 10, fixture.now, fixture.random);
        fixture.now += 500us;
        reopened += wait ? 1 : 0;
        longest = std::max(longest, wait.value_or(Duration{0}));
    }
    const auto seconds = std::chrono::duration<double>(fixture.now - begin).count();
    cr_assert_leq(reopened, 10 + 20 * seconds);
    cr_assert_geq(reopened, 100);
    cr_assert_gt(longest, 1s);
}

// Many targets die together, as when their domain is lost. The daemon's budget bounds the sum.
Test(reopening, aDaemonsBudgetBoundsAllTargets)
{
    TargetTableFixture fixture{50};
    fixture.now += 11s;
    int reopened = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < 50; ++i) {
            const auto wait = fixture.table.reopenDelay(TargetTableFixture::target(i), 10,
                                                        fixture.now, fixture.random);
            reopened += wait ? 1 : 0;
        }
    }
    cr_assert_eq(reopened, 50);
}

// One flow is silent while its target answers others, as the target has lost it.
Test(reopening, aSilentFlowOfALiveTargetIsReopenedSoon)
{
    TargetTableFixture fixture{3};
    fixture.table.heardFrom(TargetTableFixture::target(0), fixture.now);
    const auto wait
        = fixture.table.reopenDelay(TargetTableFixture::target(0), 2, fixture.now, fixture.random);
    cr_assert(wait && *wait <= 500ms);
}
