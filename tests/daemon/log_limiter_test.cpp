#include "daemon/log/log_limiter.h"

#include <string>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

// Guards against a flood of lines that differ only in their numbers, as caused by thousands of
// forged tokens. A few are written each second, the next one holds the number of suppressed lines,
// and lines of another kind or part are still written.
Test(logLimiter, floodOfOneKindLeavesRoomForOthers)
{
    LogLimiter limiter{5};
    const TimePoint start{1h};
    int written = 0;
    for (int number = 0; number < 1000; ++number) {
        const std::string text = "token of flow " + std::to_string(number) + " is forged";
        if (limiter.admit(Part::Flows, text, start))
            ++written;
    }
    cr_assert_eq(written, 5);
    cr_assert(limiter.admit(Part::Flows, "another line", start) == 0);
    cr_assert(limiter.admit(Part::Requests, "token of flow 7 is forged", start) == 0);
    cr_assert(limiter.admit(Part::Flows, "token of flow 7 is forged", start + 1s) == 995);
    cr_assert(limiter.admit(Part::Flows, "token of flow 7 is forged", start + 1s) == 0);
}

// Guards against a table of kinds that grows without bound, when a caller controls a text that ends
// up in log lines, so that each line is of another kind. The part as a whole is limited then.
Test(logLimiter, endlessKindsCountAsOne)
{
    LogLimiter limiter{5};
    int written = 0;
    for (int number = 0; number < 10000; ++number) {
        std::string text = "service ";
        for (int rest = number; rest > 0; rest /= 26)
            text += static_cast<char>('a' + rest % 26);
        if (limiter.admit(Part::Flows, text, TimePoint{1h}))
            ++written;
    }
    cr_assert_lt(written, 600);
}
