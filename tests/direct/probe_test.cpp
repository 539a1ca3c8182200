#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// \brief Targets whose machines answer connections, unless they are dark.
struct ProbedFleet : DirectFleet
{
    explicit ProbedFleet(std::uint64_t count)
    {
        router().setProbing(true);
        for (std::uint64_t id = 1; id <= count; ++id)
            add(id);
    }

    /// \return Probes that were made, each with the outcome \a outcomeOf gives for its target.
    std::size_t probe(const std::function<ProbeOutcome(TargetId)> &outcomeOf)
    {
        std::size_t count = 0;
        for (auto wanted = router().takeProbes(); !wanted.empty(); wanted = router().takeProbes()) {
            for (const ProbeRequest &each : wanted)
                router().probed(each, outcomeOf(each.target), now);
            count += wanted.size();
        }
        return count;
    }
    std::size_t probe(ProbeOutcome outcome)
    {
        return probe([outcome](TargetId) { return outcome; });
    }

    [[nodiscard]] DirectTargetState state(TargetId id)
    {
        return router().targets().state(*router().targets().find(id));
    }

    /// \brief Opens a flow whose target says nothing, and sends the first segment again.
    TargetId openUnanswered(std::uint16_t caller)
    {
        const TargetId target = open(caller).target;
        now += 200ms;
        (void)open(caller, 1);
        return target;
    }
};

} // namespace

// Guards against new flows for a target whose machine answers and takes no connections.
Test(probes, aTargetThatRefusesConnectionsGetsNoNewFlow)
{
    ProbedFleet fleet{2};
    const TargetId full = fleet.openUnanswered(1);
    cr_assert_eq(fleet.probe(ProbeOutcome::Refused), 2U);
    cr_assert(fleet.state(full) == DirectTargetState::Suspect);
    for (std::uint16_t caller = 10; caller < 40; ++caller)
        cr_assert(fleet.open(caller).target != full);
}

// Guards against seconds in which callers find out one by one that a target is dark.
Test(probes, oneUnansweredOpeningIsEnoughForAnUnreachableTarget)
{
    ProbedFleet fleet{2};
    const TargetId unreachable = fleet.openUnanswered(1);
    cr_assert_eq(fleet.probe(ProbeOutcome::TimedOut), 2U);
    cr_assert(fleet.state(unreachable) == DirectTargetState::Suspect);
    fleet.now += 400ms;
    cr_assert(fleet.open(1, 2).target != unreachable);
    for (std::uint16_t caller = 10; caller < 40; ++caller)
        cr_assert(fleet.open(caller).target != unreachable);
}

// Guards against callers that are spent on finding out whether a dark target is back.
Test(probes, onlyAProbeRestoresAnUnreachableTarget)
{
    ProbedFleet fleet{2};
    const TargetId unreachable = fleet.openUnanswered(1);
    (void)fleet.probe(ProbeOutcome::TimedOut);
    for (std::uint16_t second = 0; second < 10; ++second) {
        fleet.now += 1s;
        fleet.expire();
        cr_assert_leq(fleet.probe(ProbeOutcome::TimedOut), 1U);
        cr_assert(fleet.open(10 + second).target != unreachable);
    }
    fleet.now += 2s;
    fleet.expire();
    cr_assert_eq(fleet.probe(ProbeOutcome::Alive), 1U);
    std::vector<DeliverSegment> tried;
    for (std::uint16_t caller = 100; caller < 140; ++caller) {
        const DeliverSegment placed = fleet.open(caller);
        if (placed.target == unreachable)
            tried.push_back(placed);
    }
    cr_assert_eq(tried.size(), 1U);
    cr_assert(fleet.state(unreachable) == DirectTargetState::Suspect);
}

// Guards against an address that answers connections since another target has taken it: flows to
// the one that is gone would be lost there.
Test(probes, anAddressThatAnswersAgainGetsOneTrialFlow)
{
    ProbedFleet fleet{2};
    const TargetId unreachable = fleet.openUnanswered(1);
    (void)fleet.probe(ProbeOutcome::TimedOut);
    fleet.now += 3s;
    fleet.expire();
    (void)fleet.probe(ProbeOutcome::Alive);
    std::uint16_t caller = 9;
    DeliverSegment placed;
    while (placed.target != unreachable)
        placed = fleet.open(++caller);
    (void)fleet.route(DirectFleet::data(caller, placed.label, 0, 0, 1));
    cr_assert(fleet.state(unreachable) == DirectTargetState::Healthy);
}

// Guards against a failure domain that goes dark, and whose targets are found out one by one.
Test(probes, severalSilentTargetsHaveTheirDomainProbed)
{
    constexpr std::uint64_t count = 20;
    ProbedFleet fleet{count};
    fleet.add(count + 1, "alx-agami");
    const auto outcomeOf = [](TargetId id) {
        return id.value() <= count / 2 ? ProbeOutcome::TimedOut : ProbeOutcome::Alive;
    };
    for (std::uint16_t caller = 0; caller < 12; ++caller)
        (void)fleet.open(caller);
    fleet.now += 200ms;
    for (std::uint16_t caller = 0; caller < 12; ++caller)
        (void)fleet.open(caller, 1);
    (void)fleet.probe(outcomeOf);
    for (std::uint64_t id = 1; id <= count; ++id) {
        const bool suspect = fleet.state(TargetId{id}) == DirectTargetState::Suspect;
        cr_assert_eq(suspect, id <= count / 2, "target %lu", id);
    }
    cr_assert(fleet.state(TargetId{count + 1}) == DirectTargetState::Healthy);
}

// Guards against callers on open flows of a dark target that wait until their time is up.
Test(probes, aFlowOfAnUnreachableTargetIsResetOnceItsCallerRetransmits)
{
    ProbedFleet fleet{1};
    const DeliverSegment placed = fleet.establish(1);
    (void)fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
    fleet.now += 200ms;
    const Segment retransmission = DirectFleet::data(1, placed.label, 0, 100, 1);
    cr_assert(std::holds_alternative<DeliverSegment>(fleet.route(retransmission)));
    (void)fleet.probe(ProbeOutcome::TimedOut);
    fleet.now += 400ms;
    cr_assert(std::holds_alternative<AbortFlow>(fleet.route(retransmission)));
    cr_assert(fleet.causes.back() == SegmentCause::TargetGone);
}

// Guards against an open flow that is ended though its target lives: it is slow or overloaded, full
// and takes no more connections, a packet of the probe was lost, or this daemon stood still.
Test(probes, aFlowOfALiveTargetIsNeverReset)
{
    for (const ProbeOutcome outcome :
         {ProbeOutcome::Alive, ProbeOutcome::Refused, ProbeOutcome::Inconclusive}) {
        ProbedFleet fleet{1};
        const DeliverSegment placed = fleet.establish(1);
        (void)fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
        const Segment retransmission = DirectFleet::data(1, placed.label, 0, 100, 1);
        for (int repeat = 0; repeat < 6; ++repeat) {
            fleet.now += 400ms;
            cr_assert(std::holds_alternative<DeliverSegment>(fleet.route(retransmission)));
            for (const ProbeRequest &probe : fleet.router().takeProbes())
                fleet.router().probed(probe, outcome, fleet.now);
        }
    }
    ProbedFleet fleet{1};
    const DeliverSegment placed = fleet.establish(1);
    (void)fleet.route(DirectFleet::data(1, placed.label, 0, 100, 1));
    const Segment retransmission = DirectFleet::data(1, placed.label, 0, 100, 1);
    fleet.now += 200ms;
    (void)fleet.route(retransmission);
    int probes = 0; // The first fails by chance, the second finds the target.
    (void)fleet.probe([&probes](TargetId) {
        return probes++ == 0 ? ProbeOutcome::TimedOut : ProbeOutcome::Alive;
    });
    fleet.now += 400ms;
    cr_assert(std::holds_alternative<DeliverSegment>(fleet.route(retransmission)));
    cr_assert(fleet.state(placed.target) == DirectTargetState::Healthy);
}

// Guards against a domain of a thousand targets whose probes take half a minute: what callers wait
// for is tried first, and one target that is back brings the others back.
Test(probes, aLargeDomainThatReturnsIsUsedAtOnce)
{
    constexpr std::uint64_t count = 1000;
    ProbedFleet fleet{count};
    for (std::uint16_t caller = 0; caller < 400; ++caller) {
        (void)fleet.openUnanswered(caller);
        for (const ProbeRequest &probe : fleet.router().takeProbes()) // 16 at once, and no more.
            fleet.router().probed(probe, ProbeOutcome::TimedOut, fleet.now);
        fleet.expire();
    }
    const TargetId last = fleet.openUnanswered(500);
    bool first = false;
    for (const ProbeRequest &probe : fleet.router().takeProbes()) {
        first = first || probe.target == last;
        fleet.router().probed(probe, ProbeOutcome::TimedOut, fleet.now);
    }
    cr_assert(first || fleet.state(last) == DirectTargetState::Suspect);
    fleet.now += 3s;
    fleet.expire();
    (void)fleet.probe(ProbeOutcome::Alive);
    std::size_t silent = 0;
    for (const auto &[id, target] : fleet.router().targets().all())
        silent += target.probesFailed > 0;
    cr_assert_leq(silent, 1U, "%zu", silent);
}

// Guards against a target that is doubted since this daemon was late itself: both copies of an
// opening waited here, and went on together.
Test(probes, delayedRetransmissionsAreNoEvidence)
{
    ProbedFleet fleet{1};
    (void)fleet.open(1);
    (void)fleet.open(1, 1);
    cr_assert_eq(fleet.probe(ProbeOutcome::TimedOut), 0U);
}

// Guards against a sign of life that does not end what probes said.
Test(probes, aResponseEndsTheSuspicion)
{
    ProbedFleet fleet{1};
    const DeliverSegment kept = fleet.establish(1);
    (void)fleet.openUnanswered(2);
    (void)fleet.probe(ProbeOutcome::TimedOut);
    cr_assert(fleet.state(kept.target) == DirectTargetState::Suspect);
    (void)fleet.route(DirectFleet::data(1, kept.label, 0, 0, 50));
    cr_assert(fleet.state(kept.target) == DirectTargetState::Healthy);
}
