#pragma once

#include "support/load_replay.h"

#include <vector>

namespace baobabtrail::test {

/// \return Single requests on flows of their own, whose answers are in time with full queues too.
[[nodiscard]] inline LoadPattern admissionPattern(bool admit)
{
    LoadPattern pattern{.daemons = 12,
                        .latency = 450ms,
                        .refusalTakes = 60ms,
                        .ownFlowShare = 1,
                        .exchangesUsage = true};
    pattern.flows.placement.admit = admit;
    return pattern;
}

/// \brief Results of playAdmission().
struct AdmissionPlay
{
    LoadResult load; ///< From a second after its begin.
    LoadResult before;
    LoadResult after; ///< From a second after its end.
    ArrivalResult arrivals;
    std::vector<std::size_t> placements;
};

/// \brief Low load for two seconds, eight seconds of \a load, and low load for three.
[[nodiscard]] inline AdmissionPlay playAdmission(const LoadPattern &pattern, double load,
                                                 std::uint64_t seed, bool loseUsage = false)
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

} // namespace baobabtrail::test
