#include "daemon/stall_detector.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr Duration Period = 500ms;
constexpr Duration Threshold = 1500ms;
constexpr TimePoint Start{1h};

} // namespace

// Guards against a stall that stays unknown because a check for a packet came just before it.
Test(stallDetector, aStallRightAfterACheckIsReportedOnce)
{
    StallDetector detector{Threshold};
    detector.expectCheck(Start + Period);
    cr_assert(!detector.check(Start + 450ms, Start + 450ms));
    const TimePoint woken = Start + Period + Threshold;
    cr_assert(detector.check(woken, woken) == Threshold);
    cr_assert(!detector.check(woken, woken));
}

// Guards against an idle process that counts as stalled: nothing but the timer wakes it.
Test(stallDetector, anIdleProcessHasNotStalled)
{
    StallDetector detector{Threshold};
    for (TimePoint now = Start; now < Start + 1min; now += Period) {
        cr_assert(!detector.check(now, now));
        detector.expectCheck(now + Period);
    }
}

// The steady clock stands still while the machine is suspended, so that no timer is late.
Test(stallDetector, aSuspendedMachineHasStalled)
{
    StallDetector detector{Threshold};
    cr_assert(!detector.check(Start, Start));
    detector.expectCheck(Start + Period);
    cr_assert(detector.check(Start + 10ms, Start + 4s) == 3990ms);
    cr_assert(!detector.check(Start + 20ms, Start + 4010ms));
}
