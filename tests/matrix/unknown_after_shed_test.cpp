#include "matrix/checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A target sheds for some seconds, then accepts work again. Requests ended as unknown 2 to 3 ms
// before their deadline, where "not run" is expected. Seeds 11 and 1667: the expected run time of
// the new target was 0. Seed 2478: a stopping daemon, which still believed that it owned the
// target, dispatched the request behind the work of the new owner.
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
