/// \file
/// \brief Answers of the store and of peers that wait through stalls too short to be noticed.

#include "support/cluster_checks.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t Daemons = 8;
/// A change has to be in force this long after it was made.
constexpr Duration InForceAfter = 3s;
/// Stalls of this length are noticed.
constexpr Duration LongestStall = 1s;

/// \brief A root stalls, and is cut off from the store before it wakes. Then a change is made.
/// \param phase When it stalls; its watches at the store take 1.5 s.
/// \return Until all other daemons have the change.
[[nodiscard]] Duration timeToForce(std::size_t roots, Duration phase, Duration changeAfter)
{
    constexpr std::size_t root = 0;
    DirectCluster cluster{Daemons, roots, 1};
    cluster.time.run(10s + phase);
    cluster.freeze(root, LongestStall, false);
    cluster.time.run(changeAfter);
    cluster.store.cut.insert(static_cast<int>(root));
    const TimePoint madeAt = cluster.time.now();
    addTarget(cluster, 1, "x ready");
    const auto inForce = [&] {
        for (std::size_t index = 0; index < Daemons; ++index) {
            if (index != root && cluster.node(index)->version().value() < cluster.store.revision())
                return false;
        }
        return true;
    };
    (void)cluster.time.runUntil(inForce, 10s);
    return cluster.time.now() - madeAt;
}

} // namespace

// Guards against a source that takes an answer of before its stall as new, so that its copies look
// fresh for longer than they are: its followers may stay for as long as that, but not too long.
Test(stalledSource, itsFollowersHaveAChangeInTime)
{
    for (const std::size_t roots : {1U, 3U}) {
        Duration worst{0};
        for (Duration phase{0}; phase < 1600ms; phase += 50ms) {
            for (const Duration changeAfter : {1ms, 300ms, 600ms, 900ms})
                worst = std::max(worst, timeToForce(roots, phase, changeAfter));
        }
        cr_assert(worst <= InForceAfter, "%zu roots: %ld ms", roots,
                  static_cast<long>(worst / 1ms));
    }
}
