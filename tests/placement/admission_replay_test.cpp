#include "support/load_replay.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// \return Single requests on flows of their own, whose answers are in time with full queues too.
[[nodiscard]] LoadPattern burst(bool admit)
{
    LoadPattern pattern{.daemons = 12,
                        .latency = 450ms,
                        .refusalTakes = 60ms,
                        .ownFlowShare = 1,
                        .exchangesUsage = true};
    pattern.flows.placement.admit = admit;
    return pattern;
}

struct Played
{
    LoadResult load; ///< From a second after its begin.
    LoadResult before;
    LoadResult after; ///< From a second after its end.
    ArrivalResult arrivals;
    std::vector<std::size_t> placements;
};

/// \brief Low load for two seconds, eight seconds of \a load, and low load for three.
[[nodiscard]] Played play(const LoadPattern &pattern, double load, std::uint64_t seed,
                          bool loseUsage = false)
{
    LoadReplay replay{pattern, seed};
    if (loseUsage)
        replay.daemons().loseUsage();
    replay.play({2s, {0.5, 0.5, 0.5}});
    replay.play({8s, {load, load, load}});
    replay.play({3s, {0.5, 0.5, 0.5}});
    replay.finish();
    return {replay.result({.from = 3, .until = 10}), replay.result({.until = 2}),
            replay.result({.from = 11}), replay.arrivals({.from = 3, .until = 10}),
            replay.placements()};
}

} // namespace

// Guards against targets that refuse what daemons could have refused at once, and against
// refusals that leave slots idle.
Test(admissionReplay, overloadIsRefusedByDaemonsAndSlotsStayInUse)
{
    for (const double load : {1.2, 1.5, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const Played with = play(burst(true), load, seed);
            const auto refused = static_cast<double>(with.arrivals.refusals)
                                 / static_cast<double>(with.arrivals.arrivals);
            cr_assert(refused <= 0.1, "load %g: %g", load, refused);
            cr_assert(with.load.shareInTime() >= 0.92 / load, "load %g: %g", load,
                      with.load.shareInTime() * load);
            cr_assert(with.before.refusedByDaemons == 0 && with.after.refusedByDaemons == 0);
        }
    }
}

// Guards against refusals or other choices while targets carry the load.
Test(admissionReplay, belowSaturationEveryChoiceIsTheSame)
{
    const Played with = play(burst(true), 0.9, 1);
    const Played without = play(burst(false), 0.9, 1);
    cr_assert(with.load.refusedByDaemons == 0 && with.placements == without.placements);
}

// Guards against refusals by daemons that know only their own counts.
Test(admissionReplay, withoutUsageNothingIsRefused)
{
    cr_assert(play(burst(true), 2.0, 1, true).load.refusedByDaemons == 0);
}

// Guards against refusals that serve callers worse than none.
Test(admissionReplay, noFewerRequestsAreInTimeThanWithout)
{
    for (const double load : {1.2, 1.5, 2.0}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const double with = play(burst(true), load, seed).load.shareInTime();
            const double without = play(burst(false), load, seed).load.shareInTime();
            cr_assert(with >= without, "load %g seed %d: %g, %g", load, static_cast<int>(seed),
                      with, without);
        }
    }
}
