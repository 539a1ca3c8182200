#include "support/cluster_checks.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

// 91 daemons start at once. Guards against each of them listing and watching the store: in the tree
// only the three roots do, and every daemon is ready within two seconds.
Test(directory, aTreeOfDaemonsNeedsFewCalls)
{
    DirectCluster cluster{91, 3, 1};
    addTarget(cluster, 1);
    cr_assert(cluster.time.runUntil([&] { return allReady(cluster); }, 2s));
    cluster.time.run(10s);
    const std::uint64_t before = cluster.store.calls();
    cluster.time.run(30s);
    const std::uint64_t calls = cluster.store.calls() - before;
    // Three roots, two collections, a watch of 1.5 s: 120 calls.
    cr_assert_leq(calls, 130, "%lu calls in 30 s", calls);
}

Test(directory, aChangeIsInForceEverywhereWithinASecond)
{
    DirectCluster cluster{91, 3, 2};
    addTarget(cluster, 1);
    cluster.time.run(10s);
    cr_assert_eq(placing(cluster, 1), 91);
    addTarget(cluster, 1, "x draining");
    cr_assert(cluster.time.runUntil([&] { return placing(cluster, 1) == 0; }, 1s));
}

// A root freezes right after a change, before it has notified its followers. They have to learn of
// the change within three seconds from elsewhere.
Test(directory, aFrozenRootHidesNoChange)
{
    for (std::size_t frozen = 0; frozen < 3; ++frozen) {
        DirectCluster cluster{12, 3, 4 + frozen};
        addTarget(cluster, 1);
        cluster.time.run(10s);
        cluster.freeze(frozen, 20s);
        addTarget(cluster, 1, "x draining");
        cluster.time.run(3s);
        cr_assert_leq(placing(cluster, 1), 1, "only the frozen one itself");
    }
}

// Another writer corrupts a target's entry and keeps writing it. Daemons have to stop placing flows
// there, retain all other targets, report the entry once, and use the target again when its entry
// is valid.
Test(directory, anEntryThatCannotBeReadNamesNoTarget)
{
    std::size_t said = 0;
    const auto customizeCallbacks = [&said](std::size_t, DirectCallbacks &callbacks) {
        callbacks.onNotice = [&said](const NodeNotice &notice) {
            said += std::holds_alternative<ObjectRefused>(notice);
        };
        callbacks.reader.target
            = [whole = callbacks.reader.target](
                  const StoredObject &object) -> std::variant<RegisteredTarget, DirectoryFinding> {
            if (object.value.starts_with("spoilt"))
                return DirectoryFinding{object.key + ": state", "expected ready or draining"};
            return whole(object);
        };
    };
    DirectCluster cluster{3, 3, 9, customizeCallbacks};
    addTarget(cluster, 1);
    addTarget(cluster, 2);
    cr_assert(cluster.time.runUntil([&] { return allReady(cluster); }, 2s));
    for (int write = 0; write < 3; ++write) {
        addTarget(cluster, 1, "spoilt " + std::to_string(write));
        cluster.time.run(1s);
    }
    cr_assert(placing(cluster, 1) == 0 && placing(cluster, 2) == 3);
    cr_assert_eq(said, 3, "%zu lines by 3 daemons", said);
    addTarget(cluster, 1);
    cluster.time.run(1s);
    cr_assert_eq(placing(cluster, 1), 3);
}
