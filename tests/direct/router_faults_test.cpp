#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// Guards against two targets on one flow. An answer to the opening is lost, and the caller
// retransmits after 200 ms; a second target that answers would take over the flow's label, and
// segments for the first one would go astray. The opening moves only from a target known to be
// silent.
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

// Guards against flows for a target that has crashed: after two callers got no answer to their
// openings, neither the third transmission of these nor any new flow goes there until it responds.
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
    cr_assert(fleet.stateChanges.back() == DirectTargetState::Suspect);
    fleet.now += 400ms;
    cr_assert(fleet.open(atSilent.front(), 2).target == TargetId{2});
    for (std::uint16_t next = 100; next < 130; ++next)
        cr_assert(fleet.open(next).target == TargetId{2});
}

// Guards against a target that stays suspect after its network path has recovered: it gets a trial
// flow at intervals, and its answer ends the suspicion.
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
    cr_assert(fleet.stateChanges.back() == DirectTargetState::Suspect);
    cr_assert(fleet.open(2).target == TargetId{2});
    fleet.now += settings.trialEvery;
    std::uint16_t caller = 10;
    DeliverSegment trial;
    while (trial.target != TargetId{1} && caller < 40)
        trial = fleet.open(++caller);
    cr_assert(trial.target == TargetId{1});
    (void)fleet.route(DirectFleet::data(caller, trial.label, 0, 0, 1));
    cr_assert(fleet.stateChanges.back() == DirectTargetState::Healthy);
}

// Guards against callers that wait until their timeout. A target crashes, and its registration
// expires a few seconds later; a caller retransmits its request meanwhile. Once the target is known
// to be gone, the flow is reset, so that the caller can retry.
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

// Guards against reordered packets that count as retransmissions: they would reset the flow of an
// upload to a target that is leaving and receives every packet.
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

// Guards against resets of flows whose target was deregistered but still answers, as after a drain.
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

// Guards against refusals during a store outage, when registrations lapse while the targets are
// alive. Lapsed targets serve where no other does; live ones re-register within two seconds of the
// store's return, and the others are gone afterwards.
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

// Guards against segments at the wrong service: the address of a former target is reused by a
// target of another service. Neither target's id may lead a segment to the other one.
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

// Guards against load and suspicion that outlive a restart: a target crashes and restarts under the
// same id before its registration expires. Its flows are gone, yet their requests would count as
// load until they are evicted, and the suspicion would keep new flows away from an idle target.
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

    fleet.router().putTarget(entry, fleet.now); // Same incarnation, only newer.
    cr_assert(target.openFlows == 1 && target.inFlight == 1);

    entry.startedAt.emplace(5000ms);
    fleet.router().putTarget(entry, fleet.now);
    cr_assert(target.openFlows == 0 && target.inFlight == 0 && target.opening == 0);
    cr_assert(fleet.router().targets().state(target) == DirectTargetState::Healthy);

    // The caller's packets are still forwarded, as the target itself resets the flow. Neither they
    // nor the end of the old flows count as load.
    cr_assert(targetOf(fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1))) == TargetId{1});
    cr_assert(target.openFlows == 0 && target.inFlight == 0);
    fleet.now += 20s;
    fleet.expire();
    cr_assert(target.openFlows == 0 && target.inFlight == 0 && target.opening == 0);
}

// Guards against new flows for a target whose registration became unreadable or moved to another
// service. Open flows stay, since the target may be alive.
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
