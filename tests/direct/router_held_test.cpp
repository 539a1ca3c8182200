#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// \brief A router with one saturated target, whose answers take 90% of the promised latency.
struct SaturatedFleet
{
    SaturatedFleet()
    {
        fleet.router().setRoutes(routesWithPromise());
        fleet.add(1);
        for (std::uint16_t caller = 0; caller < 40; ++caller)
            labels.push_back(fleet.establish(caller).label);
        const RequestGate &gate = fleet.router().gate();
        for (std::uint16_t caller = 0; caller < Busy; ++caller) {
            if (const auto *window = gate.window(TargetId{1}); window && window->limited())
                break;
            (void)sendRequest(caller);
            fleet.now += 180ms;
            (void)fleet.route(DirectFleet::data(caller, labels[caller], 100, 0, 101));
        }
        (void)sendRequest(Busy);
    }

    /// Caller whose request is in flight.
    static constexpr std::uint16_t Busy = 30;
    static constexpr std::uint16_t Waiting = 31;

    [[nodiscard]] static RouteTablePtr routesWithPromise()
    {
        auto table = std::make_shared<RouteTable>(*DirectFleet::routes(2));
        RequestPolicy &promise = table->routes[DirectFleet::ServiceAddress].policy;
        promise.latency = 200ms;
        promise.timeout = 1s;
        return table;
    }

    SegmentVerdict sendRequest(std::uint16_t caller)
    {
        return fleet.route(DirectFleet::data(caller, labels[caller], 0, 100, 1));
    }

    DirectFleet fleet;
    std::vector<FlowLabel> labels;
};

[[nodiscard]] bool isHeld(const SegmentVerdict &verdict)
{
    return std::holds_alternative<HoldSegment>(verdict);
}

} // namespace

// Guards against retransmissions of a held request that count as a second request or as a sign of a
// silent target. The request is forwarded when an answer of its target is acknowledged.
Test(directRouter, aHeldRequestIsForwardedAfterTheNextAnswer)
{
    SaturatedFleet saturated;
    DirectFleet &fleet = saturated.fleet;
    cr_assert(isHeld(saturated.sendRequest(SaturatedFleet::Waiting)));
    fleet.now += 100ms;
    cr_assert(isDrop(saturated.sendRequest(SaturatedFleet::Waiting)));
    cr_assert(fleet.causes.back() == SegmentCause::Absorbed);
    cr_assert(fleet.router().takeHeldOutcomes().empty());
    const DirectTarget &target = fleet.router().targets().all().at(TargetId{1});
    cr_assert(target.held == 1 && target.unanswered == 0);

    (void)fleet.route(DirectFleet::data(SaturatedFleet::Busy, saturated.labels[30], 100, 0, 101));
    fleet.now += 300ms;
    fleet.router().serveHeld(fleet.now);
    const auto ends = fleet.router().takeHeldOutcomes();
    cr_assert(ends.size() == 1 && ends.front().shouldForward);
    cr_assert(targetOf(saturated.sendRequest(SaturatedFleet::Waiting)) == TargetId{1});
    cr_assert(target.held == 0 && target.inFlight == 1);
}

// Guards against a request that runs twice: the caller of a held request aborts and may retry
// elsewhere, so the held one must never reach the target.
Test(directRouter, aHeldRequestIsDroppedWithItsCaller)
{
    SaturatedFleet saturated;
    DirectFleet &fleet = saturated.fleet;
    cr_assert(isHeld(saturated.sendRequest(SaturatedFleet::Waiting)));
    Segment abort = DirectFleet::data(SaturatedFleet::Waiting, saturated.labels[31], 100, 0, 1);
    abort.aborts = true;
    cr_assert(targetOf(fleet.route(abort)) == TargetId{1});
    const auto ends = fleet.router().takeHeldOutcomes();
    cr_assert(ends.size() == 1 && !ends.front().shouldForward);
    cr_assert_eq(fleet.router().gate().held(), 0);
}

// Guards against requests that are held for ever, as their target falls silent or the daemon stops.
Test(directRouter, nothingIsHeldForASilentTargetOrByAStoppedDaemon)
{
    SaturatedFleet silent;
    cr_assert(isHeld(silent.sendRequest(SaturatedFleet::Waiting)));
    silent.fleet.now += 300ms;
    (void)silent.sendRequest(SaturatedFleet::Busy);
    (void)silent.fleet.open(35, 1);
    silent.fleet.now += 1ms;
    (void)silent.fleet.open(36);
    silent.fleet.now += 300ms;
    (void)silent.fleet.open(36, 1);
    silent.fleet.router().serveHeld(silent.fleet.now);
    const auto ends = silent.fleet.router().takeHeldOutcomes();
    cr_assert(ends.size() == 1 && ends.front().shouldForward);

    SaturatedFleet stopped;
    cr_assert(isHeld(stopped.sendRequest(SaturatedFleet::Waiting)));
    stopped.fleet.router().stopHolding(stopped.fleet.now);
    const auto released = stopped.fleet.router().takeHeldOutcomes();
    cr_assert(released.size() == 1 && released.front().shouldForward);
    cr_assert(!isHeld(stopped.sendRequest(32)));
}

// Guards against a request that runs although no answer can reach its caller in time: it is
// abandoned, and the log says so.
Test(directRouter, aHeldRequestIsAbandonedWhenNoAnswerCanBeInTime)
{
    SaturatedFleet saturated;
    DirectFleet &fleet = saturated.fleet;
    cr_assert(isHeld(saturated.sendRequest(SaturatedFleet::Waiting)));
    fleet.now += 990ms;
    fleet.router().serveHeld(fleet.now);
    const auto ends = fleet.router().takeHeldOutcomes();
    cr_assert(ends.size() == 1 && !ends.front().shouldForward);
    cr_assert(fleet.causes.back() == SegmentCause::Abandoned);
}

// Guards against answer times of seconds that never were. A flow goes through another daemon for a
// while; what its caller acknowledges afterwards is the answer to another request.
Test(directRouter, answersToRequestsOfOtherDaemonsAreNotMeasured)
{
    DirectFleet fleet;
    fleet.add(1);
    const FlowLabel label = fleet.establish(1).label;
    (void)fleet.route(DirectFleet::data(1, label, 0, 100, 1));
    fleet.now += 8s;
    (void)fleet.route(DirectFleet::data(1, label, 700, 0, 3000));
    const DirectTarget &target = fleet.router().targets().all().at(TargetId{1});
    cr_assert(target.answerMicros == 0 && target.inFlight == 0);
}
