#include "daemon/stall_detector.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr Duration Period = 500ms;
constexpr Duration Threshold = 1s;
constexpr TimePoint Start{1h};

/// \brief Checks at each period, and once a packet comes; the process stalls after \a phase.
/// \return Whether the stall was noticed.
[[nodiscard]] bool isNoticed(Duration phase, Duration length, Duration packetAt)
{
    StallDetector detector{Threshold, Start};
    bool noticed = false;
    const auto run = [&](Duration at) {
        const bool stalled = at >= phase && at < phase + length;
        noticed = detector.check(Start + (stalled ? phase + length : at)).has_value() || noticed;
    };
    for (Duration tick = Period; tick <= 5s; tick += Period) {
        if (packetAt > tick - Period && packetAt <= tick)
            run(packetAt);
        run(tick);
    }
    return noticed;
}

} // namespace

// Guards against stalls that are noticed or not as they lie to the timer: a daemon that has left
// rotation unnoticed acts by what was true before.
Test(stallDetector, aStallIsNoticedAtEachPhaseOfTheTimer)
{
    for (Duration length = 100ms; length <= 3s; length += 50ms) {
        for (Duration phase = 500ms; phase < 1s; phase += 10ms) {
            for (const Duration packetAt : {Duration{0ms}, Duration{700ms}, phase - 10ms}) {
                const bool noticed = isNoticed(phase, length, packetAt);
                cr_assert(noticed || length < Threshold);
                cr_assert(!noticed || length >= Threshold - Period);
            }
        }
    }
}

Test(stallDetector, aStallIsReportedOnce)
{
    StallDetector detector{Threshold, Start};
    cr_assert(!detector.check(Start + 450ms));
    cr_assert(detector.check(Start + 3450ms) == 3s);
    cr_assert(!detector.check(Start + 3450ms));
}

// Guards against an idle process that counts as stalled: nothing but the timer wakes it.
Test(stallDetector, anIdleProcessHasNotStalled)
{
    StallDetector detector{Threshold, Start};
    for (TimePoint now = Start; now < Start + 1min; now += Period)
        cr_assert(!detector.check(now));
}
