#include "support/cluster_checks.h"
#include "support/random_faults.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// Combines random faults: daemons are killed, frozen, cut off and refused; the store is down,
// silent or compacted; targets are added, drained and removed. A daemon's version must never
// decrease, and a daemon that knew a target as drained or removed must never place flows there
// again. Five seconds after the last fault every daemon must have the store's state.
Test(directory, randomFaultsNeverBringADrainedTargetBack)
{
    constexpr std::uint64_t seeds = 300; // Seeds 109 and 34 showed faults.
    constexpr int steps = 120;
    std::uint64_t states = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DirectCluster cluster{9, 3, seed};
        Random random{seed};
        const auto draw = [&](int most) {
            return boost::random::uniform_int_distribution<int>{0, most}(random);
        };
        std::uint64_t lastTarget = 0;
        std::vector<ObjectVersion> versions(cluster.size());
        /// Drained targets that the daemon knows as drained.
        std::vector<std::set<std::uint64_t>> known(cluster.size());
        std::set<std::uint64_t> drained;
        for (int step = 0; step < steps; ++step) {
            const auto victim = static_cast<std::size_t>(draw(8));
            const int drawn = draw(13);
            if (drawn == static_cast<int>(CommonFault::Restart)) {
                versions[victim] = {};
                known[victim].clear();
            }
            if (drawn < CommonFaults) {
                strike(cluster, static_cast<CommonFault>(drawn), victim, draw);
            } else {
                switch (drawn) {
                case 7:
                    cluster.store.cut = {static_cast<int>(victim)};
                    break;
                case 8:
                    cluster.cutFromPeers = {victim, static_cast<std::size_t>(draw(8))};
                    break;
                case 9:
                    cluster.store.refused.clear();
                    cluster.store.cut.clear();
                    cluster.cutFromPeers.clear();
                    break;
                case 10:
                case 11:
                    addTarget(cluster, ++lastTarget);
                    break;
                case 12:
                    if (lastTarget > 0) {
                        const auto target = static_cast<std::uint64_t>(
                            1 + draw(static_cast<int>(lastTarget) - 1));
                        if (!cluster.store.has(DirectCluster::targetKey(target)))
                            break;
                        drained.insert(target);
                        addTarget(cluster, target, "x draining");
                    }
                    break;
                default:
                    if (!drained.empty())
                        cluster.store.erase(DirectCluster::targetKey(*drained.begin()));
                    break;
                }
            }
            cluster.time.run(std::chrono::milliseconds{draw(900)});
            for (std::size_t index = 0; index < cluster.size(); ++index) {
                ++states;
                if (!cluster.node(index))
                    continue;
                const ObjectVersion version = cluster.node(index)->version();
                cr_assert_geq(version.value(), versions[index].value(), "seed %lu", seed);
                versions[index] = version;
                for (const std::uint64_t target : drained) {
                    const bool trusted = cluster.places(index, target);
                    cr_assert(!trusted || !known[index].contains(target), "seed %lu", seed);
                    const auto &all = cluster.node(index)->router().targets().all();
                    if (!trusted && all.contains(TargetId{target}))
                        known[index].insert(target);
                }
            }
        }
        cluster.store.down = false;
        cluster.store.silent = false;
        cluster.store.refused.clear();
        cluster.store.cut.clear();
        cluster.cutFromPeers.clear();
        cluster.store.compact();
        cluster.time.run(7s); // The longest freeze is over, too.
        cluster.time.run(5s);
        for (std::uint64_t target = 1; target <= lastTarget; ++target) {
            const bool wanted
                = cluster.store.has(DirectCluster::targetKey(target)) && !drained.contains(target);
            cr_assert_eq(placing(cluster, target), wanted ? cluster.size() : 0,
                         "seed %lu, target %lu", seed, target);
        }
    }
    cr_log_info("%lu seeds of %d steps, %lu states of daemons looked at", seeds, steps, states);
}
