/// \file
/// \brief Segments of open flows that waited while their daemon stalled.

#include "support/direct_fleet.h"
#include "support/verdicts.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr Duration Stall = 3s;
constexpr Duration AnswerTime = 30ms;

} // namespace

// Guards against requests that are held for an idle target, since its answers waited here and look
// as if they had taken seconds.
Test(waitedSegments, answersThatWaitedDontSaturateTheirTarget)
{
    constexpr std::uint16_t callers = 40;
    DirectFleet fleet;
    auto table = std::make_shared<RouteTable>(*DirectFleet::routes(2));
    table->routes[DirectFleet::ServiceAddress].policy.latency = 200ms;
    fleet.router().setRoutes(table);
    fleet.add(1);
    std::vector<FlowLabel> labels;
    for (std::uint16_t caller = 0; caller < callers; ++caller)
        labels.push_back(fleet.establish(caller).label);
    for (std::uint16_t caller = 0; caller < callers; ++caller)
        (void)fleet.route(DirectFleet::data(caller, labels[caller], 0, 100, 1));
    fleet.now += Stall;
    for (std::uint16_t caller = 0; caller < callers; ++caller)
        (void)fleet.route(DirectFleet::data(caller, labels[caller], 100, 0, 101),
                          Stall - AnswerTime);
    const TargetWindow *window = fleet.router().gate().window(TargetId{1});
    cr_assert(window && !window->limited());
    const DirectTarget &target = *fleet.router().targets().find(TargetId{1});
    cr_assert_leq(target.answerMicros, 1000.0 * AnswerTime.count());
}

// Guards against a measurement of a request that was forwarded late, after its answer.
Test(waitedSegments, anAnswerFromBeforeTheRequestIsNotMeasured)
{
    DirectFleet fleet;
    fleet.add(1);
    const FlowLabel label = fleet.establish(1).label;
    fleet.now += Stall;
    (void)fleet.route(DirectFleet::data(1, label, 0, 100, 1), Stall);
    fleet.now += 50ms; // As the daemon works through what has waited.
    (void)fleet.route(DirectFleet::data(1, label, 100, 0, 101), Stall - AnswerTime + 50ms);
    const DirectTarget &target = *fleet.router().targets().find(TargetId{1});
    cr_assert_eq(target.answerMicros, 0);
    cr_assert_eq(target.inFlight, 0);
}

// Guards against resets of flows that have their answers: their targets left while this daemon
// stalled, and it reads the callers' retransmissions of before.
Test(waitedSegments, anOldRetransmissionEndsNoFlow)
{
    DirectFleet fleet;
    fleet.add(1);
    const FlowLabel label = fleet.establish(1).label;
    const Segment request = DirectFleet::data(1, label, 0, 100, 1);
    (void)fleet.route(request);
    fleet.router().removeTarget(TargetId{1}, false, fleet.now);
    fleet.now += Stall;
    for (const Duration waited : {Stall - 200ms, Stall - 600ms, Stall - 1400ms})
        cr_assert(targetOf(fleet.route(request, waited)) == TargetId{1});
    cr_assert(isAbort(fleet.route(request, 0ms)));
}

// Guards against a target that looks silent: a request and its retransmission were read together,
// and it had no time to answer.
Test(waitedSegments, whatWaitedTogetherIsNoSignOfSilence)
{
    DirectFleet fleet;
    fleet.add(1);
    const FlowLabel label = fleet.establish(1).label;
    const Segment request = DirectFleet::data(1, label, 0, 100, 1);
    fleet.now += Stall;
    (void)fleet.route(request, Stall);
    fleet.now += 300ms;
    (void)fleet.route(request, Stall + 100ms);
    cr_assert_eq(fleet.router().targets().find(TargetId{1})->unanswered, 0);
    fleet.now += 300ms;
    (void)fleet.route(request, 0ms);
    cr_assert_eq(fleet.router().targets().find(TargetId{1})->unanswered, 1);
}
