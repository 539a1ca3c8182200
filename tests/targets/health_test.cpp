#include "targets/target_table_fixture.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using test::TargetTableFixture;

// One of three targets stops answering while its links stay up. After five unanswered attempts in a
// row it must get no work, while the others stay in use.
Test(healthTracker, unansweredAttemptsEject)
{
    TargetTableFixture fixture{3};
    for (int i = 0; i < 4; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
    fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fixture.health(0) == TargetHealth::Ejected);
    cr_assert_not(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
    cr_assert(fixture.table.takesWork(TargetTableFixture::target(1), fixture.now));
    cr_assert_geq(fixture.table.loadOf(TargetTableFixture::target(0), fixture.now).requests,
                  1000.0F);
}

// The probe of an ejected target is due, but there is no work to probe with. The timer must not be
// set again: it would expire at once, over and over.
Test(healthTracker, anOverdueProbeSetsNoTimer)
{
    TargetTableFixture fixture{3};
    std::vector<Notice> notices;
    for (int i = 0; i < 5; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    const std::optional<TimePoint> timer = fixture.table.nextTimer();
    cr_assert(timer && *timer > fixture.now);
    fixture.now = *timer;
    fixture.table.advance(fixture.now, notices);
    cr_assert_not(fixture.table.nextTimer());
    cr_assert_eq(notices.size(), 1U);
}

// A target that fails two of three attempts never fails five times in a row. Its share of failures
// must eject it all the same.
Test(healthTracker, aHighShareOfFailuresEjects)
{
    TargetTableFixture fixture{3};
    for (int i = 0; i < 40; ++i) {
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
        fixture.attempt(0, AttemptEnd::Done);
    }
    cr_assert(fixture.health(0) == TargetHealth::Ejected);
}

// A workspace sends requests whose deadlines are far below the service time, so all of them time
// out. The target is healthy and must not be ejected for other workspaces.
Test(healthTracker, veryShortDeadlinesEjectNobody)
{
    TargetTableFixture fixture{3};
    for (int i = 0; i < 5; ++i)
        fixture.attempt(0, AttemptEnd::Done, 20ms);
    for (int i = 0; i < 30; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 1ms);
    cr_assert(fixture.health(0) == TargetHealth::Good);
}

// A dead target's load reports and keep-alives still look good, and a live target reports to be
// full. Neither may change its health: only attempts and opens do.
Test(healthTracker, reportsNeitherEjectNorReadmit)
{
    TargetTableFixture fixture{3};
    const LoadReport full{1000, 1000, 100000};
    for (int i = 0; i < 20; ++i)
        fixture.attempt(1, AttemptEnd::Done, 20ms, &full);
    cr_assert(fixture.health(1) == TargetHealth::Good);

    for (int i = 0; i < 5; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    for (int i = 0; i < 20; ++i) {
        fixture.table.heardFrom(TargetTableFixture::target(0), fixture.now);
        fixture.table.linkVerified(TargetTableFixture::target(0), TargetTableFixture::id(), {},
                                   fixture.now);
    }
    cr_assert(fixture.health(0) == TargetHealth::Ejected);
}

// An ejected target comes back. After a new hello it gets one probe at a time; three answers
// readmit it with a quarter of its share, which then grows. A failed probe doubles the back-off.
Test(healthTracker, probesReadmitATargetGradually)
{
    TargetTableFixture fixture{3, 1, 8};
    for (int i = 0; i < 5; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    const TargetId dead = TargetTableFixture::target(0);
    fixture.now += 1s;
    cr_assert_not(fixture.table.takesWork(dead, fixture.now), "no probe before a hello");
    fixture.table.linkVerified(dead, TargetTableFixture::id(), {}, fixture.now);
    cr_assert(fixture.table.takesWork(dead, fixture.now));
    fixture.table.attemptStarted(dead, fixture.now);
    fixture.now += 500ms;
    cr_assert_not(fixture.table.takesWork(dead, fixture.now), "one probe at a time");
    fixture.table.attemptEnded(dead, AttemptEnd::TimedOut, 500ms, nullptr, fixture.now);

    fixture.table.linkVerified(dead, TargetTableFixture::id(), {}, fixture.now);
    fixture.now += 1500ms;
    cr_assert_not(fixture.table.takesWork(dead, fixture.now), "the second back-off is longer");
    fixture.now += 500ms;
    for (int i = 0; i < 3; ++i) {
        cr_assert(fixture.table.takesWork(dead, fixture.now));
        fixture.attempt(0, AttemptEnd::Done);
        fixture.now += 100ms;
    }
    cr_assert(fixture.health(0) == TargetHealth::Warming);
    fixture.table.attemptStarted(dead, fixture.now);
    fixture.table.attemptStarted(dead, fixture.now);
    cr_assert_not(fixture.table.slotFree(dead, fixture.now), "a quarter of eight slots");
    fixture.now += 10s;
    cr_assert(fixture.table.slotFree(dead, fixture.now));
    cr_assert(fixture.health(0) == TargetHealth::Good);
}

// This daemon's own network fails, so that two of its three targets look dead. It must keep using
// all of them (panic mode): ejecting them would turn its fault into an outage.
Test(healthTracker, servesAllTargetsWhenMostLookDead)
{
    TargetTableFixture fixture{3};
    for (std::size_t target = 0; target < 2; ++target) {
        for (int i = 0; i < 5; ++i)
            fixture.attempt(target, AttemptEnd::TimedOut, 500ms);
    }
    cr_assert(fixture.health(0) == TargetHealth::Ejected);
    cr_assert(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
    cr_assert(fixture.table.takesFlow(TargetTableFixture::target(1), fixture.now));
    for (int i = 0; i < 3; ++i)
        fixture.attempt(1, AttemptEnd::Done);
    cr_assert_not(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
}

// A target answers its hello with the id of another service, as after an address was reassigned. It
// must get no work, not even in panic mode.
Test(healthTracker, aTargetOfAnotherServiceGetsNothing)
{
    TargetTableFixture fixture{1};
    fixture.table.linkVerified(TargetTableFixture::target(0), serviceId("alexandria", "catalogue"),
                               {}, fixture.now);
    for (int i = 0; i < 5; ++i)
        fixture.attempt(0, AttemptEnd::TimedOut, 500ms);
    cr_assert(fixture.health(0) == TargetHealth::Mismatch);
    cr_assert_not(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
    cr_assert_not(fixture.table.takesFlow(TargetTableFixture::target(0), fixture.now));
}

// A new machine is declared under the name of a removed target. The state of the old one doesn't
// apply to it: it has to be verified and to warm up.
Test(healthTracker, aNewGenerationStartsWithoutHistory)
{
    TargetTableFixture fixture{3};
    fixture.targetConfig(0).generation = Generation{2};
    fixture.apply();
    cr_assert(fixture.health(0) == TargetHealth::Unverified);
    cr_assert_not(fixture.table.takesWork(TargetTableFixture::target(0), fixture.now));
    fixture.verifyAll();
    cr_assert(fixture.health(0) == TargetHealth::Warming);
    cr_assert(fixture.health(1) == TargetHealth::Good);
}

Test(concurrencyLimit, followsShedsAndSuccesses)
{
    TargetTableFixture fixture{3, 1, 8};
    const auto limit = [&] {
        return fixture.table.status(TargetTableFixture::target(0), fixture.now)->concurrencyLimit;
    };
    cr_assert_eq(limit(), 8.0);
    fixture.attempt(0, AttemptEnd::Shed, 1ms);
    const double lowered = limit();
    cr_assert_lt(lowered, 8.0);
    fixture.attempt(0, AttemptEnd::Shed, 1ms);
    cr_assert_eq(limit(), lowered, "sheds of one burst count once");
    for (int i = 0; i < 50; ++i)
        fixture.attempt(0, AttemptEnd::Shed, 100ms);
    cr_assert_eq(limit(), 1.0);
    cr_assert(fixture.table.slotFree(TargetTableFixture::target(0), fixture.now),
              "a target that sheds is not dead");
    for (int i = 0; i < 12; ++i)
        fixture.table.attemptStarted(TargetTableFixture::target(0), fixture.now);
    for (int i = 0; i < 2000; ++i)
        fixture.attempt(0, AttemptEnd::Done);
    cr_assert_eq(limit(), 10.0, "a quarter above the slots");
}

// A target slows down as more attempts run on it. Successes must not raise its limit then.
Test(concurrencyLimit, isNotRaisedWhileAnswersSlowDown)
{
    TargetTableFixture fixture{3, 1, 8};
    for (int i = 0; i < 100; ++i)
        fixture.attempt(0, AttemptEnd::Done, 20ms);
    for (int i = 0; i < 7; ++i)
        fixture.table.attemptStarted(TargetTableFixture::target(0), fixture.now);
    for (int i = 0; i < 200; ++i)
        fixture.attempt(0, AttemptEnd::Done, 20ms + i * 1ms);
    cr_assert_lt(fixture.table.status(TargetTableFixture::target(0), fixture.now)->concurrencyLimit,
                 9.0);
}

// All queues are long, so one request is sent ahead of a free slot, and the target sheds it. Its
// limit must stay, and nothing is sent ahead of a slot for a while.
Test(concurrencyLimit, aShedOfAnAttemptSentAheadKeepsTheLimit)
{
    TargetTableFixture fixture{3, 4, 2};
    const TargetId own = fixture.table.owned().front();
    const auto index = own == TargetTableFixture::target(0)   ? 0
                       : own == TargetTableFixture::target(1) ? 1
                                                              : 2;
    for (int i = 0; i < 200; ++i)
        fixture.table.applyHint({TargetTableFixture::target((index + 1 + i % 2) % 3), 4.0F, 0.0F},
                                fixture.now);
    fixture.table.attemptStarted(own, fixture.now);
    fixture.table.attemptStarted(own, fixture.now);
    cr_assert_not(fixture.table.slotFree(own, fixture.now), "no request waits");
    fixture.table.setWaiting(own, 1);
    cr_assert(fixture.table.slotFree(own, fixture.now));
    fixture.attempt(static_cast<std::size_t>(index), AttemptEnd::Shed, 1ms);
    cr_assert_eq(fixture.table.status(own, fixture.now)->concurrencyLimit, 2.0);
    cr_assert_not(fixture.table.slotFree(own, fixture.now));
}
