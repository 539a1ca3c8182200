/// \file
/// \brief Costs of daemons that lose their sources, in virtual time: calls to the store through an
/// outage while all roots are dead, the time after its return until a change is in force, and calls
/// where roots fall silent or all daemons but the roots stall.

#include "command_line.h"
#include "support/direct_cluster.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>

DEFINE_string(daemons, "6,100,985", "numbers of daemons, separated by commas");
DEFINE_uint64(seconds, 10, "length of the outage");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::test;

constexpr std::size_t Roots = 3;
constexpr Duration SettleTime = 10s;
constexpr Duration MaxDelay = 20s;

/// \brief What an outage cost.
struct OutageCosts
{
    double callsPerSecond = 0;   ///< Of all daemons, on average over the outage.
    std::uint64_t mostCalls = 0; ///< In one second of the outage.
    Duration inForce{0}; ///< From the store's return until the last daemon knows of a change.
};

/// \return Whether all daemons but the roots know of a change of the routes.
[[nodiscard]] bool allKnow(DirectCluster &cluster, std::uint64_t version)
{
    for (std::size_t index = Roots; index < cluster.size(); ++index) {
        if (cluster.node(index)->router().routes().version < version)
            return false;
    }
    return true;
}

/// \param silent Whether calls end with their timeouts, rather than being refused at once.
[[nodiscard]] OutageCosts measure(std::size_t daemons, bool silent)
{
    DirectCluster cluster{daemons + Roots, Roots, 1};
    for (std::uint64_t target = 1; target <= 100; ++target)
        cluster.store.put(DirectCluster::targetKey(target), "x ready");
    cluster.time.run(SettleTime);
    for (std::size_t root = 0; root < Roots; ++root)
        cluster.kill(root);
    cluster.time.run(SettleTime);
    OutageCosts costs;
    const std::uint64_t before = cluster.store.calls();
    if (silent)
        cluster.store.goSilent();
    else
        cluster.store.goDown();
    for (std::uint64_t second = 0; second < FLAGS_seconds; ++second) {
        const std::uint64_t earlier = cluster.store.calls();
        cluster.time.run(1s);
        costs.mostCalls = std::max(costs.mostCalls, cluster.store.calls() - earlier);
    }
    costs.callsPerSecond
        = static_cast<double>(cluster.store.calls() - before) / static_cast<double>(FLAGS_seconds);
    cluster.store.silent = false;
    cluster.store.down = false;
    cluster.store.put("routes/main", "2");
    const TimePoint returned = cluster.time.now();
    cluster.time.runUntil([&] { return allKnow(cluster, 2); }, MaxDelay);
    costs.inForce = cluster.time.now() - returned;
    return costs;
}

/// \return Calls to the store in the ten seconds after \a fault, of a cluster with three live
/// roots.
[[nodiscard]] std::uint64_t callsAfter(std::size_t daemons,
                                       const std::function<void(DirectCluster &)> &fault)
{
    DirectCluster cluster{daemons + Roots, Roots, 1};
    for (std::uint64_t target = 1; target <= 100; ++target)
        cluster.store.put(DirectCluster::targetKey(target), "x ready");
    cluster.time.run(SettleTime);
    const std::uint64_t before = cluster.store.calls();
    fault(cluster);
    cluster.time.run(10s);
    return cluster.store.calls() - before;
}

void printFaultsOfSources(std::size_t daemons)
{
    const auto none = [](DirectCluster &) {};
    const auto silentRoot = [](DirectCluster &cluster) { cluster.freeze(0, 60s); };
    const auto stall = [](DirectCluster &cluster) {
        for (std::size_t index = Roots; index < cluster.size(); ++index)
            cluster.freeze(index, 2s);
    };
    std::cout << std::setw(8) << daemons << "  calls in 10 s: calm " << callsAfter(daemons, none)
              << ", a root falls silent " << callsAfter(daemons, silentRoot)
              << ", all others stall for 2 s " << callsAfter(daemons, stall) << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(
        argc, argv, "bench-sourceless [flags]: an outage of the store where all roots are dead");
    std::cout << std::setw(8) << "daemons" << std::setw(10) << "store" << std::setw(10) << "calls/s"
              << std::setw(10) << "most" << std::setw(14) << "in force, ms" << std::endl;
    std::istringstream sizes(FLAGS_daemons);
    for (std::string size; std::getline(sizes, size, ',');) {
        for (const bool silent : {true, false}) {
            const OutageCosts costs = measure(std::stoul(size), silent);
            std::cout << std::setw(8) << size << std::setw(10) << (silent ? "silent" : "refuses")
                      << std::fixed << std::setprecision(1) << std::setw(10) << costs.callsPerSecond
                      << std::setw(10) << costs.mostCalls << std::setw(14) << costs.inForce / 1ms
                      << std::endl;
        }
        printFaultsOfSources(std::stoul(size));
    }
    return 0;
}
