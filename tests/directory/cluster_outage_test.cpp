#include "support/cluster_checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// The store compacts its history: watches miss the events of one second, in which a target is
// drained, and are then dropped silently. The drain has to be known within the bound of 4 s after
// the fault.
Test(directory, aWatchThatIsDroppedSilentlyIsReplacedInTime)
{
    for (Duration phase = 0ms; phase < 3s; phase += 100ms) {
        DirectCluster cluster{8, 3, 3};
        addTarget(cluster, 1);
        cluster.time.run(10s + phase);
        cluster.store.muteWatches();
        cluster.time.run(300ms);
        addTarget(cluster, 1, "x draining");
        cluster.time.run(700ms);
        cluster.store.compact();
        cr_assert(cluster.time.runUntil([&] { return placing(cluster, 1) == 0; }, 4s));
    }
}

// Two of three roots fail, and then the third. The other daemons have to continue with the store
// alone.
Test(directory, withoutRootsEveryDaemonAsksTheStore)
{
    DirectCluster cluster{12, 3, 8};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    for (std::size_t root = 0; root < 3; ++root)
        cluster.kill(root);
    addTarget(cluster, 1, "x draining");
    cluster.time.run(3s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// The store is down and a daemon is replaced. It has to serve from its peers' copies, however old.
Test(directory, aNewProcessTakesTheViewOfThePeersWhileTheStoreIsDown)
{
    DirectCluster cluster{8, 3, 9};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    cluster.time.run(20s);
    for (const std::size_t index : {0U, 5U}) {
        cluster.kill(index);
        cluster.start(index);
        cr_assert(cluster.time.runUntil([&] { return cluster.node(index)->ready(); }, 1s));
        cr_assert(cluster.places(index, 1));
        cr_assert(!cluster.node(index)->fresh());
    }
}

// All daemons are killed while the store is down, so that no copy is left. Once it is back, all
// have to be ready soon, without a thundering herd of calls.
Test(directory, allDaemonsKilledWhileTheStoreIsDown)
{
    DirectCluster cluster{30, 3, 10};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.kill(index);
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.start(index);
    const std::uint64_t before = cluster.store.calls();
    cluster.time.run(10s);
    cr_assert_leq(cluster.store.calls() - before, 600);
    cluster.store.down = false;
    cr_assert(cluster.time.runUntil([&] { return allReady(cluster); }, 1500ms));
}

// Sixty daemons with thin links are killed at once: a complete copy takes three seconds to pass one
// of these links. Guards against each daemon also requesting one from its peers and abandoning it
// after a tenth of a second: abandoned transfers then fill the links, and callers wait for half a
// minute. The store is available and has a wide link.
Test(directory, allDaemonsKilledWithThinLinksServeSoon)
{
    constexpr std::uint64_t targets = 3000;
    DirectCluster cluster{60, 3, 18};
    for (std::uint64_t target = 1; target <= targets; ++target)
        addTarget(cluster, target);
    cluster.time.run(10s);
    cr_assert(allReady(cluster));
    cluster.linkBytesPerSecond = targets * 70 / 3;
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.kill(index);
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.start(index);
    cr_assert(cluster.time.runUntil([&] { return allReady(cluster); }, 5s));
    cluster.time.run(5s);
    expectAllFresh(cluster);
}

// As above, with the store unavailable: a daemon that starts alone has only its peers. It has to
// get the complete copy from one of them, though that takes thirty times as long as a peer takes to
// answer.
Test(directory, aWholeCopyComesFromAPeerOverAThinLink)
{
    constexpr std::uint64_t targets = 3000;
    DirectCluster cluster{8, 3, 19};
    for (std::uint64_t target = 1; target <= targets; ++target)
        addTarget(cluster, target);
    cluster.time.run(10s);
    cluster.linkBytesPerSecond = targets * 70 / 3;
    cluster.store.down = true;
    cluster.kill(6);
    cluster.start(6);
    cr_assert(cluster.time.runUntil([&] { return cluster.node(6)->ready(); }, 4500ms));
}

// The store is unavailable to all daemons for ten seconds. Guards against hundreds of followers
// that query the store over and over because their roots' copies become stale.
Test(directory, anOutageDoesNotSendEverybodyToTheStore)
{
    DirectCluster cluster{91, 3, 14};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    const std::uint64_t before = cluster.store.calls();
    const std::uint64_t queriesBefore = cluster.queries;
    cluster.time.run(10s);
    const std::uint64_t calls = cluster.store.calls() - before;
    const std::uint64_t queries = cluster.queries - queriesBefore;
    cr_assert_leq(queries, 91 * 10 * 20, "%lu queries in 10 s", queries);
    // Three roots that retry each second make 80 calls; 88 followers query the store themselves
    // three times in this time, at growing intervals, in case only their roots can't reach it: 528.
    cr_assert_leq(calls, 700, "%lu calls", calls);
    cluster.store.down = false;
    cluster.time.run(3s);
    expectAllFresh(cluster);
}

// The store is unavailable to all daemons for ten seconds, at design size. If each follower queried
// it, 1,254 calls would fall into less than half a second, and later again; if each left its
// source, the three roots would get hundreds of queries a second.
Test(directory, anOutageAtSixHundredDaemonsIsLookedAtByFew)
{
    DirectCluster cluster{630, 3, 16};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    const std::uint64_t before = cluster.store.calls();
    std::vector<std::uint64_t> askedBefore;
    for (std::size_t root = 0; root < 3; ++root)
        askedBefore.push_back(cluster.queriesTo(root));
    cluster.time.run(10s);
    const std::uint64_t calls = cluster.store.calls() - before;
    // Three roots that retry each second make 80 calls. For each collection 12 daemons have a
    // follower slot at a root; each queries the store up to four times in this time: 96. The rest
    // is for slots that change hands.
    cr_assert_leq(calls, 300, "%lu calls", calls);
    for (std::size_t root = 0; root < 3; ++root) {
        const std::uint64_t asked = cluster.queriesTo(root) - askedBefore[root];
        cr_assert_leq(asked, 10 * 60, "%lu queries to a root in 10 s", asked);
    }
    cluster.store.down = false;
    cluster.time.run(3s);
    expectAllFresh(cluster);
}

// The store refuses all roots and every third daemon, and serves the others, at design size. A few
// of those that it serves query it themselves; the roots learn of the change from them, and all
// other daemons from the roots, including those that the store refuses. A drain has to be known
// within three seconds.
Test(directory, refusedRootsHearOfAChangeFromTheirFollowers)
{
    DirectCluster cluster{630, 3, 17};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    for (int index = 0; index < 630; ++index) {
        if (index < 3 || index % 3 == 0)
            cluster.store.refused.insert(index);
    }
    cluster.store.compact(); // Ends the pending watches.
    const std::uint64_t before = cluster.store.calls();
    addTarget(cluster, 1, "x draining");
    cluster.time.run(3s);
    const std::uint64_t calls = cluster.store.calls() - before;
    cr_assert_eq(placing(cluster, 1), 0, "%zu daemons", placing(cluster, 1));
    cr_assert_leq(calls, 200, "%lu calls", calls);
}

// The store refuses some daemons, roots among them, and serves the others. The refused ones have to
// learn of a change from the others.
Test(directory, refusedDaemonsHearFromTheOthers)
{
    DirectCluster cluster{12, 3, 11};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.refused = {0, 1, 4, 5};
    cluster.time.run(5s);
    addTarget(cluster, 1, "x draining");
    cluster.time.run(2s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// The store refuses all three roots and serves the others. Each follower sees that its root's copy
// becomes stale, and still has to learn of a change within three seconds: it can reach the store
// itself.
Test(directory, followersOfRefusedRootsAskTheStoreInTime)
{
    for (Duration phase = 0ms; phase < 1600ms; phase += 100ms) {
        DirectCluster cluster{30, 3, 15};
        addTarget(cluster, 1);
        cluster.time.run(10s + phase);
        cluster.store.refused = {0, 1, 2};
        cluster.store.compact(); // Ends the pending watches.
        addTarget(cluster, 1, "x draining");
        cluster.time.run(3s);
        cr_assert_leq(placing(cluster, 1), 3, "%zu daemons", placing(cluster, 1));
    }
}

// The store loses track of some daemons' connections, so that their watches never return.
Test(directory, daemonsThatAreCutFromTheStoreHearFromTheOthers)
{
    DirectCluster cluster{8, 3, 12};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.store.cut = {0, 3};
    cluster.time.run(100ms);
    addTarget(cluster, 1, "x draining");
    cluster.time.run(2s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// A daemon is cut off from all others but can reach the store.
Test(directory, aDaemonWithoutPeersAsksTheStore)
{
    DirectCluster cluster{8, 3, 13};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cluster.cutFromPeers = {6};
    cluster.time.run(100ms);
    addTarget(cluster, 1, "x draining");
    cluster.time.run(3s);
    cr_assert_eq(placing(cluster, 1), 0);
}
