#include "ctl/explain_flow.h"

#include <sstream>

#include <criterion/criterion.h>

using namespace baobabtrail::ctl;

namespace {

// Shortened log lines of two daemons, recorded during faults.
constexpr const char *Log = R"(
 41.0 edge-1 {"time":"2026-05-01T21:39:06.100000Z","severity":"info","part":"flows","event":"placed","flow":"100.64.0.7:4001>198.18.0.1:443","target":"i-1","in_flight":2}
no json at all
 44.0 edge-1 {"time":"2026-05-01T21:39:09.300000Z","severity":"info","part":"targets","event":"suspect","target":"i-1","unanswered":2}
 43.0 edge-1 {"time":"2026-05-01T21:39:08.100000Z","severity":"info","part":"flows","event":"repeated","flow":"100.64.0.7:4001>198.18.0.1:443","target":"i-1"}
 43.0 edge-2 {"time":"2026-05-01T21:39:08.200000Z","severity":"info","part":"flows","event":"placed","flow":"100.64.0.8:4001>198.18.0.1:443","target":"i-2"}
 43.0 edge-1 {"time":"2026-05-01T21:39:08.300000Z","severity":"warning","part":"platform","event":"store_lost","why":"no answer"}
 45.0 edge-1 {"time":"2026-05-01T21:39:10.500000Z","severity":"warning","part":"flows","event":"target_gone","flow":"100.64.0.7:4001>198.18.0.1:443","target":"i-1"}
 45.0 edge-1 {"time":"2026-05-01T21:39:10.600000Z","broken
)";

} // namespace

// Guards against a report with missing or unordered events of the flow, without its context of
// targets and daemons, or with lines of other flows.
Test(explainFlow, printsTheEventsOfAFlowInOrder)
{
    std::istringstream log{Log};
    std::ostringstream out;
    cr_assert(explainFlow(log, "100.64.0.7:4001", out));
    const std::string story = out.str();
    std::size_t at = 0;
    for (const char *step : {"1 lines could not be read", "placed", "repeated", "store_lost",
                             "suspect", "target_gone", "cause: its target left"}) {
        at = story.find(step, at);
        cr_assert_neq(at, std::string::npos, "%s is missing in\n%s", step, story.c_str());
    }
    cr_assert_eq(story.find("i-2"), std::string::npos);
    cr_assert_neq(story.find("in_flight=2"), std::string::npos);
}

Test(explainFlow, saysWhereNoLineNamesTheFlow)
{
    std::istringstream log{Log};
    std::ostringstream out;
    cr_assert(!explainFlow(log, "100.64.0.7:400", out));
    cr_assert_neq(out.str().find("no line names"), std::string::npos);
}
