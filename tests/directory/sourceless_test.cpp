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

/// \brief Expects the daemons from \a first on to be up to date.
void expectFresh(DirectCluster &cluster, std::size_t first)
{
    for (std::size_t index = first; index < cluster.size(); ++index)
        cr_assert(cluster.node(index)->fresh(), "daemon %zu", index);
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

// All roots accept connections and never answer, as processes that are stopped do. Guards against
// their timeouts, one after the other, which took longer than a change may take.
Test(sourceless, silentRootsHideNoChange)
{
    for (Duration phase = 0ms; phase < 1600ms; phase += 100ms) {
        DirectCluster cluster{9, 3, 30};
        addTarget(cluster, 1);
        cluster.time.run(10s + phase);
        for (std::size_t root = 0; root < 3; ++root)
            cluster.freeze(root, 60s);
        addTarget(cluster, 1, "x draining");
        cluster.time.run(InForceAfter);
        cr_assert_leq(placing(cluster, 1), 3, "only the roots themselves");
    }
}

// As above, and a follower stalls meanwhile and wakes.
Test(sourceless, silentRootsHideNoChangeFromADaemonThatWakes)
{
    for (Duration phase = 0ms; phase < 4s; phase += 100ms) {
        DirectCluster cluster{7, 3, 31};
        addTarget(cluster, 1);
        cluster.time.run(10s);
        cluster.freeze(4, 4s);
        cluster.time.run(phase);
        for (std::size_t root = 0; root < 3; ++root)
            cluster.freeze(root, 60s);
        cluster.time.run(4s - phase);
        // The bound counts from the wake, as the daemon is only then in touch.
        cluster.time.run(InTouchAfter - InForceAfter);
        cr_assert(cluster.node(4) && !cluster.frozen(4));
        addTarget(cluster, 1, "x draining");
        cluster.time.run(InForceAfter);
        cr_assert(!cluster.places(4, 1));
    }
}

// The settings name roots that are silent, during calm.
Test(sourceless, newSilentRootsHideNoChange)
{
    for (Duration phase = 0ms; phase < 1600ms; phase += 100ms) {
        DirectCluster cluster{9, 3, 32};
        addTarget(cluster, 1);
        cluster.time.run(10s + phase);
        for (const std::size_t silent : {6U, 7U, 8U})
            cluster.freeze(silent, 60s);
        for (const std::size_t index : {0U, 3U, 4U, 5U})
            cluster.setRoots(index, {DirectCluster::addressOf(6), DirectCluster::addressOf(7),
                                     DirectCluster::addressOf(8)});
        addTarget(cluster, 1, "x draining");
        cluster.time.run(InForceAfter);
        for (const std::size_t index : {0U, 3U, 4U, 5U})
            cr_assert(!cluster.places(index, 1));
    }
}

// The daemons were started together with the whole system, so that they wait for peers before they
// read the store, and later get roots that are dead. Guards against waiting like this once more,
// while changes come.
Test(sourceless, newDeadRootsHideNoChangeWhereTheWholeSystemWasStarted)
{
    DirectNodeSettings settings;
    settings.peers.startupWait = 3s;
    for (Duration phase = 0ms; phase < 1600ms; phase += 100ms) {
        DirectCluster cluster{9, 3, 33, [](std::size_t, DirectCallbacks &) {}, settings};
        addTarget(cluster, 1);
        cluster.time.run(10s + phase);
        cluster.kill(8);
        for (std::size_t index = 0; index < 8; ++index)
            cluster.setRoots(index, {DirectCluster::addressOf(8)});
        cr_assert(followsAChange(cluster));
    }
}

// The store doesn't answer for a while, and its changes have to be in force four seconds after its
// return. Guards against daemons without a source that wait longer and longer before they call it
// again, and against a watch that is lost as the store returns.
Test(sourceless, aReturnOfTheStoreIsNoticedInTime)
{
    for (const Duration outage : {300ms, 1500ms, 3000ms, 4500ms, 7000ms, 20000ms}) {
        for (Duration phase = 0ms; phase < 3s; phase += 150ms) {
            DirectCluster cluster{9, 3, 27};
            addTarget(cluster, 1);
            killRoots(cluster, 3);
            cluster.time.run(phase);
            cluster.store.goSilent();
            cluster.time.run(outage);
            cluster.store.silent = false;
            cluster.time.run(500ms);
            addTarget(cluster, 1, "x draining");
            cluster.store.put("routes/main", "2");
            evacuate(cluster, "d1");
            cluster.time.run(InTouchAfter - 500ms);
            cr_assert_eq(placing(cluster, 1), 0, "after %ld ms", long{outage / 1ms});
            cr_assert_eq(evacuating(cluster, "d1"), 6);
            for (std::size_t index = 3; index < cluster.size(); ++index)
                cr_assert_eq(cluster.node(index)->router().routes().version, 2);
        }
    }
}

// As above, where the store refuses calls at once, and where it goes away again half a second after
// its return.
Test(sourceless, aReturnOfTheStoreBetweenTwoOutagesIsNoticedInTime)
{
    for (Duration phase = 0ms; phase < 3s; phase += 150ms) {
        DirectCluster cluster{9, 3, 28};
        addTarget(cluster, 1);
        killRoots(cluster, 3);
        cluster.time.run(phase);
        cluster.store.goDown();
        cluster.time.run(4500ms);
        cluster.store.down = false;
        cluster.time.run(500ms);
        cluster.store.goSilent();
        cluster.time.run(4500ms);
        cluster.store.silent = false;
        cluster.time.run(500ms);
        addTarget(cluster, 1, "x draining");
        cluster.time.run(InTouchAfter - 500ms);
        cr_assert_eq(placing(cluster, 1), 0);
    }
}

// All seeds of a hundred daemons are dead, and the store is away for ten seconds. Guards against
// each daemon calling it for each collection by itself.
Test(sourceless, anOutageWithoutRootsCostsOneCallADaemonAtATime)
{
    DirectCluster cluster{103, 3, 29};
    addTarget(cluster, 1);
    killRoots(cluster, 3);
    for (const bool silent : {true, false}) {
        const std::uint64_t before = cluster.store.calls();
        if (silent)
            cluster.store.goSilent();
        else
            cluster.store.goDown();
        cluster.time.run(10s);
        const std::uint64_t calls = cluster.store.calls() - before;
        // One call each 2.25 s at the most, and one more of each collection as the outage begins.
        cr_assert_leq(calls, 100 * (5 + 3), "%lu calls", calls);
        cluster.store.silent = false;
        cluster.store.down = false;
        cluster.time.run(InTouchAfter);
        expectFresh(cluster, 3);
    }
}
