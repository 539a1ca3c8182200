/// \file
/// \brief Daemons that have no source which answers: they have to read the store themselves.

#include "support/cluster_checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// A change has to be in force this long after it was made.
constexpr Duration InForceAfter = 3s;
/// A daemon that stalled, or whose store was away, is only held to that from then on.
constexpr Duration InTouchAfter = 4s;

/// \brief Kills the roots, which leaves the other daemons without a source for good.
void killRoots(DirectCluster &cluster, std::size_t roots)
{
    for (std::size_t root = 0; root < roots; ++root)
        cluster.kill(root);
    cluster.time.run(5s);
}

/// \return Whether all daemons know of a change that is made now, in time.
[[nodiscard]] bool followsAChange(DirectCluster &cluster)
{
    addTarget(cluster, 1, "x draining");
    cluster.time.run(InForceAfter);
    return placing(cluster, 1) == 0;
}

} // namespace

// A daemon whose roots are all dead stalls and wakes. Guards against its calls to the store ending
// for good, so that it uses drained targets and dropped routes until it is restarted.
Test(sourceless, aDaemonThatWakesReadsTheStoreAgain)
{
    DirectCluster cluster{5, 3, 21};
    addTarget(cluster, 1);
    killRoots(cluster, 3);
    cluster.freeze(3, 4s);
    cluster.time.run(4s + InTouchAfter);
    cr_assert(followsAChange(cluster));
}

// As above, where all remaining daemons stall at once, twice, and the store is away at the second
// wake.
Test(sourceless, daemonsThatWakeWithinAnOutageReadTheStoreAgain)
{
    DirectCluster cluster{6, 3, 22};
    addTarget(cluster, 1);
    killRoots(cluster, 3);
    for (const bool down : {false, true}) {
        cluster.store.down = down;
        for (std::size_t index = 3; index < cluster.size(); ++index)
            cluster.freeze(index, 4s);
        cluster.time.run(6s);
        cluster.store.down = false;
        cluster.time.run(InTouchAfter);
    }
    cr_assert(followsAChange(cluster));
}

// The settings of daemons whose roots are all dead are reloaded with other dead roots.
Test(sourceless, daemonsWithNewDeadRootsGoOnReadingTheStore)
{
    DirectCluster cluster{8, 3, 23};
    addTarget(cluster, 1);
    for (const std::size_t dead : {6U, 7U})
        cluster.kill(dead);
    killRoots(cluster, 3);
    for (std::size_t index = 3; index < 6; ++index)
        cluster.setRoots(index, {DirectCluster::addressOf(6), DirectCluster::addressOf(7)});
    cr_assert(followsAChange(cluster));
}

// A root is no longer one after a reload, and the new roots are dead.
Test(sourceless, aFormerRootGoesOnReadingTheStore)
{
    DirectCluster cluster{6, 3, 24};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    for (const std::size_t dead : {4U, 5U})
        cluster.kill(dead);
    for (std::size_t index = 0; index < 4; ++index)
        cluster.setRoots(index, {DirectCluster::addressOf(4), DirectCluster::addressOf(5)});
    cr_assert(followsAChange(cluster));
}

// The address of the store changes for daemons whose roots are all dead. Calls to the old one never
// end.
Test(sourceless, aStoreThatMovesIsReadAgain)
{
    DirectCluster cluster{6, 3, 25};
    addTarget(cluster, 1);
    killRoots(cluster, 3);
    for (std::size_t index = 3; index < cluster.size(); ++index)
        cluster.moveStore(index);
    cr_assert(followsAChange(cluster));
}

// A daemon that woke while it read the store itself must leave the store to its source as soon as
// that answers again, or hundreds of daemons would watch the store for good.
Test(sourceless, theStoreIsLeftToASourceThatAnswersAgain)
{
    DirectCluster cluster{12, 3, 26};
    addTarget(cluster, 1);
    killRoots(cluster, 3);
    for (std::size_t index = 3; index < cluster.size(); ++index)
        cluster.freeze(index, 2s);
    for (std::size_t root = 0; root < 3; ++root)
        cluster.start(root);
    cluster.time.run(6s);
    const std::uint64_t before = cluster.store.calls();
    cluster.time.run(30s);
    const std::uint64_t calls = cluster.store.calls() - before;
    // Three roots, two collections, a watch of 1.5 s: 120 calls.
    cr_assert_leq(calls, 130, "%lu calls in 30 s", calls);
}
