#include "matrix/checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A target sheds for some seconds, then takes work again. A caller's request waits meanwhile and is
// started so late that its deadline passes while it runs: it ends as unknown, where "not run" could
// still have been said. Nothing runs twice; the caller loses the chance to ask again.
Test(matrixKnown, nothingIsStartedThatCannotEndInTime)
{
    const Strike answer{Fault::TargetShedding, Step::Answer};
    const Strike open{Fault::TargetShedding, Step::Open};
    const std::vector<std::pair<std::vector<Strike>, std::uint64_t>> cells{
        {{answer}, 11},
        {{answer, {Fault::SilentFlow, Step::Answer}}, 1667},
        {{{Fault::TwoReservations, Step::Established}, open}, 2478}};
    for (const auto &[strikes, seed] : cells) {
        for (const std::string &violation : Cell{strikes, seed}.run())
            cr_expect(false, "seed %lu: %s", seed, violation.c_str());
    }
}
