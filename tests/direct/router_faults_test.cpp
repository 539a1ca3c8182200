#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// A target's answer to the opening segment is lost; the caller sends it again after 200 ms.
// A second target that answers as well would take the flow's label over, and the first one's
// packets would go astray; so it goes to the same target while that is not known to be silent.
Test(directRouter, aRetransmittedOpeningGoesToTheSameTarget)
{
    DirectFleet fleet;
    for (std::uint64_t id = 1; id <= 10; ++id)
        fleet.add(id);
    for (std::uint16_t caller = 0; caller < 30; ++caller) {
        const DeliverSegment placed = fleet.open(caller);
        cr_assert(fleet.open(caller, 1).target == placed.target);
        (void)fleet.route(DirectFleet::data(caller, placed.label, 0, 0, 1));
    }
}

// A target dies without a word. Two callers get no answer to their openings.
// The third copy of each must not go there again, nor any new flow, until it gives a sign of life.
Test(directRouter, aSilentTargetGetsNoMoreFlows)
{
    DirectFleet fleet;
    fleet.add(1);
    fleet.add(2);
    std::uint16_t caller = 0;
    std::vector<std::uint16_t> atSilent;
    while (atSilent.size() < 2) {
        const DeliverSegment placed = fleet.open(caller);
        if (placed.target == TargetId{1})
            atSilent.push_back(caller);
        else
            (void)fleet.route(DirectFleet::data(caller, placed.label, 0, 0, 1));
        ++caller;
    }
    fleet.now += 200ms;
    for (const std::uint16_t waiting : atSilent)
        (void)fleet.open(waiting, 1);
    cr_assert(fleet.beliefs.back() == DirectTargetState::Suspect);
    fleet.now += 400ms;
    cr_assert(fleet.open(atSilent.front(), 2).target == TargetId{2});
    for (std::uint16_t next = 100; next < 130; ++next)
        cr_assert(fleet.open(next).target == TargetId{2});
}

// A path heals: a suspect gets one flow now and then, and its answer ends the suspicion.
Test(directRouter, aSuspectGetsTrialFlows)
{
    DirectSettings settings;
    settings.suspectAfter = 1;
    DirectFleet fleet{settings};
    fleet.add(1);
    (void)fleet.open(1);
    fleet.now += 200ms;
    fleet.add(2);
    (void)fleet.open(1, 1);
    cr_assert(fleet.beliefs.back() == DirectTargetState::Suspect);
    cr_assert(fleet.open(2).target == TargetId{2});
    fleet.now += settings.trialEvery;
    std::uint16_t caller = 10;
    DeliverSegment trial;
    while (trial.target != TargetId{1} && caller < 40)
        trial = fleet.open(++caller);
    cr_assert(trial.target == TargetId{1});
    (void)fleet.route(DirectFleet::data(caller, trial.label, 0, 0, 1));
    cr_assert(fleet.beliefs.back() == DirectTargetState::Healthy);
}

// A target crashes; its registration goes a few seconds later. A caller with an open flow sends
// its request again and again. Once the target is known to be gone, the flow is ended, so that the
// caller asks anew instead of waiting until its time is up.
Test(directRouter, flowsOfAGoneTargetThatIsSilentAreReset)
{
    DirectFleet fleet;
    fleet.add(1);
    const DeliverSegment placed = fleet.establish(1);
    const Segment request = DirectFleet::data(1, placed.label, 0, 100, 1);
    cr_assert(targetOf(fleet.route(request)) == TargetId{1});
    fleet.now += 200ms;
    cr_assert(targetOf(fleet.route(request)) == TargetId{1});
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    fleet.now += 400ms;
    cr_assert(isAbort(fleet.route(request)));
    cr_assert(fleet.causes.back() == SegmentCause::TargetGone);
}

// An upload of many packets is under way to a target that leaves; some packets overtake others.
// The flow must not be ended: nothing was sent again, and the target takes it all.
Test(directRouter, reorderedPacketsAreNoRetransmissions)
{
    DirectFleet fleet;
    fleet.add(1);
    const DeliverSegment placed = fleet.establish(1);
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    for (const std::uint32_t sent : {2400U, 0U, 1200U, 4800U, 3600U, 2400U}) {
        fleet.now += 1ms;
        const auto verdict = fleet.route(DirectFleet::data(1, placed.label, sent, 1200, 1));
        cr_assert(targetOf(verdict) == TargetId{1});
        cr_assert(fleet.causes.back() == SegmentCause::Forwarded);
    }
}

// A target leaves the list but still answers (it drained and finishes): its flow goes on.
Test(directRouter, flowsOfAGoneTargetThatAnswersGoOn)
{
    DirectFleet fleet;
    fleet.add(1);
    const DeliverSegment placed = fleet.establish(1);
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    for (std::uint32_t sent = 0; sent < 1000; sent += 100) {
        fleet.now += 300ms;
        const auto verdict = fleet.route(DirectFleet::data(1, placed.label, sent, 100, sent + 1));
        cr_assert(targetOf(verdict) == TargetId{1});
    }
}

// Registrations lapse while the store is away, and the targets live: they come back within two
// seconds of its return. Until then they serve where nothing else does; afterwards they are gone.
Test(directRouter, aLapsedTargetIsTheLastResort)
{
    DirectFleet fleet;
    fleet.add(1);
    fleet.router().removeTarget(TargetId{1}, true, fleet.now);
    cr_assert(fleet.open(1).target == TargetId{1});
    fleet.add(2);
    for (std::uint16_t caller = 2; caller < 20; ++caller)
        cr_assert(fleet.open(caller).target == TargetId{2});
    fleet.router().removeTarget(TargetId{2}, false, fleet.now);
    fleet.now += 3s;
    fleet.expire();
    cr_assert(isAbort(fleet.route(DirectFleet::opening(30))));
}

// A target's address goes to another service after it has ended. Its old id must never lead
// a segment there under the new target's name, nor the other way round.
Test(directRouter, aReusedAddressIsAnotherTarget)
{
    DirectFleet fleet;
    fleet.add(1);
    const DeliverSegment placed = fleet.establish(1);
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    RegisteredTarget reuser = DirectFleet::target(9);
    reuser.service = serviceId("catalogue", "catalogue");
    reuser.address = placed.address;
    fleet.router().putTarget(reuser, fleet.now);
    const auto verdict = fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
    cr_assert(targetOf(verdict) == TargetId{1}, "named in front of the packet, and refused there");
    cr_assert(isAbort(fleet.route(DirectFleet::opening(2))), "never placed at another service");
}

// A target crashes and starts again under its id before its registration lapses. Its flows are
// gone, yet their requests would count as load there until they are forgotten, and the silence of
// the crash would keep new flows away from a target that is empty.
Test(directRouter, aRestartedTargetBeginsWithoutLoadOrSuspicion)
{
    DirectFleet fleet;
    RegisteredTarget entry = DirectFleet::target(1);
    entry.startedAt.emplace(1000ms);
    fleet.router().putTarget(entry, fleet.now);
    const DeliverSegment placed = fleet.establish(1);
    (void)fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
    (void)fleet.open(2);
    fleet.now += 300ms;
    (void)fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
    (void)fleet.open(2, 1);
    const DirectTarget &target = fleet.router().targets().all().at(TargetId{1});
    cr_assert(target.openFlows == 1 && target.inFlight == 1 && target.opening == 1);
    cr_assert(fleet.router().targets().state(target) == DirectTargetState::Suspect);

    fleet.router().putTarget(entry, fleet.now); // Only a newer report of the same life.
    cr_assert(target.openFlows == 1 && target.inFlight == 1);

    entry.startedAt.emplace(5000ms);
    fleet.router().putTarget(entry, fleet.now);
    cr_assert(target.openFlows == 0 && target.inFlight == 0 && target.opening == 0);
    cr_assert(fleet.router().targets().state(target) == DirectTargetState::Healthy);

    // The caller's packets still go there: the target itself tells the caller that its flow is
    // gone. Neither they nor the end of the old flows count.
    cr_assert(targetOf(fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1))) == TargetId{1});
    cr_assert(target.openFlows == 0 && target.inFlight == 0);
    fleet.now += 20s;
    fleet.expire();
    cr_assert(target.openFlows == 0 && target.inFlight == 0 && target.opening == 0);
}

// A registration is replaced by one that can't be read, or moves to another service. New flows
// must not go there; an open one stays, since its target may live on.
Test(directRouter, anUnreadableRegistrationGetsNoNewFlow)
{
    DirectFleet fleet;
    fleet.add(1);
    const DeliverSegment placed = fleet.establish(1);
    fleet.router().refuseTarget(TargetId{1});
    cr_assert(isAbort(fleet.route(DirectFleet::opening(2))));
    cr_assert(targetOf(fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1))) == TargetId{1});
    fleet.now += 300ms;
    cr_assert(targetOf(fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1))) == TargetId{1});

    fleet.add(1);
    cr_assert(fleet.open(3).target == TargetId{1});

    RegisteredTarget moved = DirectFleet::target(1);
    moved.service = serviceId("other", "other");
    fleet.router().putTarget(moved, fleet.now);
    cr_assert(isAbort(fleet.route(DirectFleet::opening(4))));
}
