#include "matrix/checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A target sheds for some seconds, then takes work again. A caller's request ended as unknown 2 to
// 3 ms before its deadline, where "not run" is expected: with seeds 11 and 1667 its new target was
// taken to need no time; with 2478 the stopping daemon, which still took itself for the owner, sent
// it behind the work of the new one.
Test(matrix, nothingEndsAsUnknownAfterShedding)
{
    const FaultInjection answer{Fault::TargetShedding, Step::Answer};
    const FaultInjection open{Fault::TargetShedding, Step::Open};
    const std::vector<std::pair<std::vector<FaultInjection>, std::uint64_t>> cells{
        {{answer}, 11},
        {{answer, {Fault::SilentFlow, Step::Answer}}, 1667},
        {{{Fault::TwoReservations, Step::Established}, open}, 2478}};
    for (const auto &[injections, seed] : cells) {
        for (const std::string &violation : Cell{injections, seed}.run())
            cr_expect(false, "seed %lu: %s", seed, violation.c_str());
    }
}
