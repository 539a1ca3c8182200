#include "core/overload/request_gate.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr TimePoint Begin{1h};
const OverloadSettings Usual;

[[nodiscard]] HeldRequest request(std::uint16_t caller, Duration begunAfter,
                                  std::uint32_t priority = 2)
{
    RequestPolicy promise;
    promise.priority = priority;
    promise.latency = 200ms;
    promise.timeout = 1200ms;
    return {{{1, caller}, {2, 443}}, promise, Begin + begunAfter, Begin + begunAfter};
}

/// \brief A window that saw slow answers until its target counted as saturated.
[[nodiscard]] TargetWindow saturated(const OverloadSettings &settings)
{
    TargetWindow window{settings};
    for (int answer = 0; answer < 30; ++answer) {
        window.sent(Begin);
        window.answered(180ms, 200ms, Begin);
        window.ended(Begin);
    }
    cr_assert(window.limited());
    return window;
}

} // namespace

// Answers take 40 to 60 ms of 200 ms, except one that takes a second because packets were lost.
// Were that taken for saturation, requests that could be served at once would be held.
Test(window, oneSlowAnswerDoesNotSaturate)
{
    TargetWindow window{Usual};
    for (int answer = 0; answer < 50; ++answer)
        window.answered(answer == 30 ? 1s : 50ms, 200ms, Begin);
    cr_assert(!window.limited());
    window.answered(1s, 0ms, Begin); // A route without a promised latency has no effect.
    cr_assert(!window.limited() && window.hasRoom(Begin));
}

Test(window, shrinksOnSlowAnswersAndGrowsOnFastOnes)
{
    TargetWindow window = saturated(Usual);
    const double small = window.size();
    cr_assert_leq(small, 1.0);
    for (int answer = 0; answer < 200; ++answer)
        window.answered(50ms, 200ms, Begin + answer * 20ms);
    cr_assert(!window.limited());
}

// Four in five requests find a full queue and are refused at once; the others take long. Counted
// as fast answers, the refusals would widen the window of a target that is full.
Test(window, refusalsDoNotCountAsFastAnswers)
{
    TargetWindow window{Usual};
    for (int answer = 0; answer < 300; ++answer)
        window.answered(answer % 5 == 0 ? 230ms : 25ms, 200ms, Begin + answer * 5ms);
    cr_assert(window.limited());
    cr_assert_leq(window.size(), 1.0);
}

// A daemon joins and takes over half of the flows, with the answers to requests that this daemon
// sent. Counted for ever, these requests would keep the window full, and all held requests would
// wait until their callers time out.
Test(window, requestsAnsweredThroughAnotherDaemonExpire)
{
    TargetWindow window = saturated(Usual);
    for (int request = 0; request < 5; ++request)
        window.sent(Begin);
    cr_assert(!window.hasRoom(Begin + 10ms));
    cr_assert(window.hasRoom(Begin + 1s));
    cr_assert(window.hasRoomForLate());
}

// Many daemons share a target, so that even one request from each is too many. A window below one
// lets a request through from time to time.
Test(window, belowOneLetsARequestThroughNowAndThen)
{
    TargetWindow window = saturated(Usual);
    cr_assert_lt(window.size(), 1.0);
    window.sent(Begin);
    window.ended(Begin);
    cr_assert(!window.hasRoom(Begin + 1ms));
    cr_assert(window.hasRoom(Begin + 300ms));
}

Test(heldRequests, theNewestOfTheMostUrgentGoesFirst)
{
    HeldRequests held{Usual};
    held.add(request(1, 0ms));
    held.add(request(2, 20ms));
    held.add(request(3, 10ms, 1));
    const TimePoint now = Begin + 30ms;
    cr_assert(held.takeNext(60ms, false, now)->flow.caller.port == 3);
    cr_assert(held.takeNext(60ms, false, now)->flow.caller.port == 2);
    cr_assert(held.takeNext(60ms, false, now)->flow.caller.port == 1);
    cr_assert(!held.takeNext(60ms, false, now));
}

// Guards against late requests that fill the slots, so that the requests after them have to wait
// and are late as well.
Test(heldRequests, lateRequestsLeaveRoomForTimelyOnes)
{
    HeldRequests held{Usual};
    held.add(request(1, 0ms));
    held.add(request(2, 300ms));
    held.add(request(3, 100ms));
    const TimePoint now = Begin + 310ms;
    cr_assert(held.takeNext(60ms, true, now)->flow.caller.port == 2);
    cr_assert(!held.takeNext(60ms, false, now));
    cr_assert(held.takeNext(60ms, true, now)->flow.caller.port == 1); // Its caller times out first.
    cr_assert_eq(held.size(), 1);
}

Test(heldRequests, abandonsRequestsWhoseTimeoutCannotBeMet)
{
    HeldRequests held{Usual};
    held.add(request(1, 0ms));
    held.add(request(2, 500ms));
    cr_assert(!held.takePastDeadline(100ms, Begin + 1000ms));
    cr_assert(held.takePastDeadline(100ms, Begin + 1150ms)->flow.caller.port == 1);
    cr_assert(!held.takePastDeadline(100ms, Begin + 1150ms));
}

// A flood of requests for one target must not exhaust the daemon's memory: requests beyond the
// bound are forwarded, and the target's own queue refuses them.
Test(gate, boundsHeldRequests)
{
    OverloadSettings settings;
    settings.maxHeldPerTarget = 3;
    RequestGate gate{settings};
    const TargetId target{1};
    for (int answer = 0; answer < 30; ++answer) {
        gate.sent(target, Begin);
        gate.answered(target, 180ms, 200ms, Begin);
        gate.ended(target, Begin);
    }
    gate.sent(target, Begin);
    for (std::uint16_t caller = 0; caller < 3; ++caller)
        cr_assert(gate.tryHold(target, request(caller, 1ms)));
    cr_assert(!gate.tryHold(target, request(3, 1ms)));
    cr_assert(gate.held() == 3 && gate.heldFor(target) == 3);
    cr_assert(gate.erase(target, request(1, 1ms).flow) && gate.held() == 2);
    gate.erase(target);
    cr_assert(gate.held() == 0 && gate.targetsWithHeldRequests().empty());
}
