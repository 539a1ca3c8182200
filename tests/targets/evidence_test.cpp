#include "targets/fleet.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using test::Fleet;

// One of three targets stops answering while its links stay up.
// After five attempts in a row without an answer it gets no work; the others go on.
Test(healthTracker, unansweredAttemptsEject)
{
    Fleet fleet{3};
    for (int i = 0; i < 4; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fleet.table.takesWork(Fleet::target(0), fleet.now));
    fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fleet.health(0) == TargetHealth::Ejected);
    cr_assert_not(fleet.table.takesWork(Fleet::target(0), fleet.now));
    cr_assert(fleet.table.takesWork(Fleet::target(1), fleet.now));
    cr_assert_geq(fleet.table.loadOf(Fleet::target(0), fleet.now).requests, 1000.0F);
}

// An ejected target's probe has fallen due, but no work comes that could be the probe.
// The timer that announced it is not set again: it would expire at once, for ever.
Test(healthTracker, aProbeThatFellDueSetsNoTimerAgain)
{
    Fleet fleet{3};
    std::vector<Notice> notices;
    for (int i = 0; i < 5; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    const std::optional<TimePoint> timer = fleet.table.nextTimer();
    cr_assert(timer && *timer > fleet.now);
    fleet.now = *timer;
    fleet.table.advance(fleet.now, notices);
    cr_assert_not(fleet.table.nextTimer());
    cr_assert_eq(notices.size(), 1U);
}

// A target whose every second attempt fails never fails five times in a row.
// Its share of failures ejects it all the same.
Test(healthTracker, aHighShareOfFailuresEjects)
{
    Fleet fleet{3};
    for (int i = 0; i < 40; ++i) {
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
        fleet.attempt(0, AttemptEnd::Done);
    }
    cr_assert(fleet.health(0) == TargetHealth::Ejected);
}

// A workspace sends requests whose deadlines are far below the service time; all time out.
// The target did nothing wrong and must not be ejected for the others.
Test(healthTracker, veryShortDeadlinesEjectNobody)
{
    Fleet fleet{3};
    for (int i = 0; i < 5; ++i)
        fleet.attempt(0, AttemptEnd::Done, 20ms);
    for (int i = 0; i < 30; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 1ms);
    cr_assert(fleet.health(0) == TargetHealth::Good);
}

// A dead target's load endpoint and keep-alives still say that all is well, a live one's say that
// it is full. Neither moves the verdict: only attempts and opens do.
Test(healthTracker, reportsNeitherEjectNorReadmit)
{
    Fleet fleet{3};
    const LoadReport full{1000, 1000, 100000};
    for (int i = 0; i < 20; ++i)
        fleet.attempt(1, AttemptEnd::Done, 20ms, &full);
    cr_assert(fleet.health(1) == TargetHealth::Good);

    for (int i = 0; i < 5; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    for (int i = 0; i < 20; ++i) {
        fleet.table.heardFrom(Fleet::target(0), fleet.now);
        fleet.table.linkVerified(Fleet::target(0), Fleet::id(), {}, fleet.now);
    }
    cr_assert(fleet.health(0) == TargetHealth::Ejected);
}

// An ejected target comes back. It is asked for a hello, then gets one attempt at a time; three
// answers readmit it with a quarter of its share, which grows. A failed probe doubles the wait.
Test(healthTracker, probesBringATargetBackByDegrees)
{
    Fleet fleet{3, 1, 8};
    for (int i = 0; i < 5; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    const TargetId dead = Fleet::target(0);
    fleet.now += 1s;
    cr_assert_not(fleet.table.takesWork(dead, fleet.now), "no probe before a hello");
    fleet.table.linkVerified(dead, Fleet::id(), {}, fleet.now);
    cr_assert(fleet.table.takesWork(dead, fleet.now));
    fleet.table.attemptStarted(dead, fleet.now);
    fleet.now += 500ms;
    cr_assert_not(fleet.table.takesWork(dead, fleet.now), "one probe at a time");
    fleet.table.attemptEnded(dead, AttemptEnd::TimedOut, 500ms, nullptr, fleet.now);

    fleet.table.linkVerified(dead, Fleet::id(), {}, fleet.now);
    fleet.now += 1500ms;
    cr_assert_not(fleet.table.takesWork(dead, fleet.now), "the second wait is longer");
    fleet.now += 500ms;
    for (int i = 0; i < 3; ++i) {
        cr_assert(fleet.table.takesWork(dead, fleet.now));
        fleet.attempt(0, AttemptEnd::Done);
        fleet.now += 100ms;
    }
    cr_assert(fleet.health(0) == TargetHealth::Warming);
    fleet.table.attemptStarted(dead, fleet.now);
    fleet.table.attemptStarted(dead, fleet.now);
    cr_assert_not(fleet.table.slotFree(dead, fleet.now), "a quarter of eight slots");
    fleet.now += 10s;
    cr_assert(fleet.table.slotFree(dead, fleet.now));
    cr_assert(fleet.health(0) == TargetHealth::Good);
}

// This daemon's own network fails, so that two of its three targets seem to be dead.
// It goes on serving all of them: refusing would make its fault an outage.
Test(healthTracker, whenMostLookDeadTheObserverIsDoubted)
{
    Fleet fleet{3};
    for (std::size_t target = 0; target < 2; ++target) {
        for (int i = 0; i < 5; ++i)
            fleet.attempt(target, AttemptEnd::TimedOut, 500ms);
    }
    cr_assert(fleet.health(0) == TargetHealth::Ejected);
    cr_assert(fleet.table.takesWork(Fleet::target(0), fleet.now));
    cr_assert(fleet.table.takesFlow(Fleet::target(1), fleet.now));
    for (int i = 0; i < 3; ++i)
        fleet.attempt(1, AttemptEnd::Done);
    cr_assert_not(fleet.table.takesWork(Fleet::target(0), fleet.now));
}

// A target answers its hello with another service's id, as after an address moved on.
// It gets nothing, not even when most targets look dead.
Test(healthTracker, aTargetOfAnotherServiceGetsNothing)
{
    Fleet fleet{1};
    fleet.table.linkVerified(Fleet::target(0), serviceId("alexandria", "catalogue"), {}, fleet.now);
    for (int i = 0; i < 5; ++i)
        fleet.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fleet.health(0) == TargetHealth::Mismatch);
    cr_assert_not(fleet.table.takesWork(Fleet::target(0), fleet.now));
    cr_assert_not(fleet.table.takesFlow(Fleet::target(0), fleet.now));
}

// Under the name of a removed target a new machine is declared.
// What was learnt of the old one doesn't hold for it: it has to say who it is and to warm up.
Test(healthTracker, aNewGenerationStartsAnew)
{
    Fleet fleet{3};
    fleet.targetConfig(0).generation = Generation{2};
    fleet.apply();
    cr_assert(fleet.health(0) == TargetHealth::Unverified);
    cr_assert_not(fleet.table.takesWork(Fleet::target(0), fleet.now));
    fleet.verifyAll();
    cr_assert(fleet.health(0) == TargetHealth::Warming);
    cr_assert(fleet.health(1) == TargetHealth::Good);
}

Test(concurrencyLimit, followsShedsAndSuccesses)
{
    Fleet fleet{3, 1, 8};
    const auto limit
        = [&] { return fleet.table.status(Fleet::target(0), fleet.now)->concurrencyLimit; };
    cr_assert_eq(limit(), 8.0);
    fleet.attempt(0, AttemptEnd::Shed, 1ms);
    const double lowered = limit();
    cr_assert_lt(lowered, 8.0);
    fleet.attempt(0, AttemptEnd::Shed, 1ms);
    cr_assert_eq(limit(), lowered, "sheds of one burst count once");
    for (int i = 0; i < 50; ++i)
        fleet.attempt(0, AttemptEnd::Shed, 100ms);
    cr_assert_eq(limit(), 1.0);
    cr_assert(fleet.table.slotFree(Fleet::target(0), fleet.now), "a target that sheds is not dead");
    for (int i = 0; i < 12; ++i)
        fleet.table.attemptStarted(Fleet::target(0), fleet.now);
    for (int i = 0; i < 2000; ++i)
        fleet.attempt(0, AttemptEnd::Done);
    cr_assert_eq(limit(), 10.0, "a quarter above the slots");
}

// A target slows down as more runs on it; its limit isn't raised on such successes.
Test(concurrencyLimit, isNotRaisedWhileAnswersSlowDown)
{
    Fleet fleet{3, 1, 8};
    for (int i = 0; i < 100; ++i)
        fleet.attempt(0, AttemptEnd::Done, 20ms);
    for (int i = 0; i < 7; ++i)
        fleet.table.attemptStarted(Fleet::target(0), fleet.now);
    for (int i = 0; i < 200; ++i)
        fleet.attempt(0, AttemptEnd::Done, 20ms + i * 1ms);
    cr_assert_lt(fleet.table.status(Fleet::target(0), fleet.now)->concurrencyLimit, 9.0);
}

// Queues are long everywhere, so one request is sent ahead of a free slot; the target sheds it.
// Its limit stays, and nothing is sent ahead of a slot for a while.
Test(concurrencyLimit, aShedOfWhatWasSentAheadLowersNothing)
{
    Fleet fleet{3, 4, 2};
    const TargetId own = fleet.table.owned().front();
    const auto index = own == Fleet::target(0) ? 0 : own == Fleet::target(1) ? 1 : 2;
    for (int i = 0; i < 200; ++i)
        fleet.table.applyHint({Fleet::target((index + 1 + i % 2) % 3), 4.0F, 0.0F}, fleet.now);
    fleet.table.attemptStarted(own, fleet.now);
    fleet.table.attemptStarted(own, fleet.now);
    cr_assert_not(fleet.table.slotFree(own, fleet.now), "nobody waits");
    fleet.table.setWaiting(own, 1);
    cr_assert(fleet.table.slotFree(own, fleet.now));
    fleet.attempt(static_cast<std::size_t>(index), AttemptEnd::Shed, 1ms);
    cr_assert_eq(fleet.table.status(own, fleet.now)->concurrencyLimit, 2.0);
    cr_assert_not(fleet.table.slotFree(own, fleet.now));
}
