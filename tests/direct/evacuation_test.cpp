#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr const char *Here = "alx-raml";
constexpr const char *There = "alx-agami";

/// \brief Targets 1 and 2 in the local failure domain, 3 in another one.
struct ThreeTargets : DirectFleet
{
    ThreeTargets()
    {
        add(1, Here);
        add(2, Here);
        add(3, There);
    }
};

} // namespace

// Guards against new flows in an evacuated domain while all other targets are busy, suspect or
// lapsed.
Test(evacuation, noNewFlowGoesThereWhateverTheOthersAre)
{
    ThreeTargets fleet;
    cr_assert(fleet.router().setEvacuated(Here, true, fleet.now));
    cr_assert(!fleet.router().setEvacuated(Here, true, fleet.now));
    std::uint16_t caller = 0;
    for (; caller < 40; ++caller) // Busy, and soon suspect.
        cr_assert(fleet.open(caller).target == TargetId{3});
    fleet.now += 200ms;
    for (std::uint16_t waiting = 0; waiting < caller; ++waiting)
        cr_assert(fleet.open(waiting, 1).target == TargetId{3});
    cr_assert(fleet.stateChanges.back() == DirectTargetState::Suspect);
    cr_assert(fleet.open(++caller).target == TargetId{3});
    fleet.router().removeTarget(TargetId{3}, true, fleet.now);
    cr_assert(fleet.open(++caller).target == TargetId{3});
}

// Guards against callers that wait although no target can serve them.
Test(evacuation, aServiceWithoutTargetsElsewhereIsRefusedAtOnce)
{
    ThreeTargets fleet;
    (void)fleet.router().setEvacuated(Here, true, fleet.now);
    (void)fleet.router().setEvacuated(There, true, fleet.now);
    cr_assert(std::holds_alternative<AbortFlow>(fleet.route(DirectFleet::opening(1))));
    cr_assert(fleet.causes.back() == SegmentCause::NoTarget);
}

// Guards against an evacuation that breaks or moves open flows.
Test(evacuation, openFlowsStay)
{
    ThreeTargets fleet;
    std::vector<DeliverSegment> placed;
    for (std::uint16_t caller = 0; caller < 10; ++caller)
        placed.push_back(fleet.establish(caller));
    (void)fleet.router().setEvacuated(Here, true, fleet.now);
    for (std::uint16_t caller = 0; caller < 10; ++caller) {
        const SegmentVerdict verdict
            = fleet.route(DirectFleet::data(caller, placed[caller].label, 0, 100, 1));
        cr_assert(std::get<DeliverSegment>(verdict).target == placed[caller].target);
    }
}

// Guards against a retransmitted opening that goes to its former target, which is evacuated since.
Test(evacuation, aRetransmittedOpeningMoves)
{
    ThreeTargets fleet;
    cr_assert(fleet.open(1).target != TargetId{3});
    (void)fleet.router().setEvacuated(Here, true, fleet.now);
    fleet.now += 200ms;
    cr_assert(fleet.open(1, 1).target == TargetId{3});
}

// Guards against flows for a target that registers, or restarts, during the evacuation.
Test(evacuation, targetsThatRegisterMeanwhileGetNone)
{
    DirectFleet fleet;
    (void)fleet.router().setEvacuated(Here, true, fleet.now);
    fleet.add(1, Here);
    fleet.add(2, There);
    for (std::uint16_t caller = 0; caller < 20; ++caller)
        cr_assert(fleet.open(caller).target == TargetId{2});
    RegisteredTarget restarted = DirectFleet::target(1, Here);
    restarted.startedAt.emplace(std::chrono::milliseconds{5});
    fleet.router().putTarget(restarted, fleet.now);
    cr_assert(fleet.open(20).target == TargetId{2});
    cr_assert(fleet.router().setEvacuated(Here, false, fleet.now));
    cr_assert(fleet.open(21).target == TargetId{1});
}
