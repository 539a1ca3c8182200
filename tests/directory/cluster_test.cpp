#include "support/direct_cluster.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

[[nodiscard]] bool allReady(DirectCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        if (!cluster.node(index) || !cluster.node(index)->ready())
            return false;
    }
    return true;
}

void expectAllFresh(DirectCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cr_assert(cluster.node(index)->fresh(), "daemon %zu", index);
}

/// \return Daemons that would place a new flow at the target.
[[nodiscard]] std::size_t placing(DirectCluster &cluster, std::uint64_t target)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index)
        count += cluster.node(index) && cluster.places(index, target);
    return count;
}

void add(DirectCluster &cluster, std::uint64_t target, const std::string &state = "x ready")
{
    cluster.store.put(DirectCluster::targetKey(target), state);
}

} // namespace

// 91 daemons start at once. Each would list the store and watch it for itself; with the tree, the
// three roots do, and everybody is ready within a second.
Test(directory, aTreeOfDaemonsNeedsFewCalls)
{
    DirectCluster cluster{91, 3, 1};
    add(cluster, 1);
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
    add(cluster, 1);
    cluster.time.run(10s);
    cr_assert_eq(placing(cluster, 1), 91);
    add(cluster, 1, "x draining");
    cr_assert(cluster.time.runUntil([&] { return placing(cluster, 1) == 0; }, 1s));
}

// The store compacts its history: watches hear nothing for a second while a target is drained,
// and are then dropped without a word. The drained target must be known within the bound that
// holds 4 s after the fault.
Test(directory, aWatchThatIsDroppedSilentlyIsReplacedInTime)
{
    for (Duration phase = 0ms; phase < 3s; phase += 100ms) {
        DirectCluster cluster{8, 3, 3};
        add(cluster, 1);
        cluster.time.run(10s + phase);
        cluster.store.deafen();
        cluster.time.run(300ms);
        add(cluster, 1, "x draining");
        cluster.time.run(700ms);
        cluster.store.compact();
        cr_assert(cluster.time.runUntil([&] { return placing(cluster, 1) == 0; }, 4s));
    }
}

// The root that a daemon has its copy from freezes right after a change, before it has told.
// The daemon must learn of the change within three seconds from elsewhere.
Test(directory, aFrozenRootHidesNoChange)
{
    for (std::size_t frozen = 0; frozen < 3; ++frozen) {
        DirectCluster cluster{12, 3, 4 + frozen};
        add(cluster, 1);
        cluster.time.run(10s);
        cluster.freeze(frozen, 20s);
        add(cluster, 1, "x draining");
        cluster.time.run(3s);
        cr_assert_leq(placing(cluster, 1), 1, "only the frozen one itself");
    }
}

// Two of three roots die, and then the third. The others go on with the store alone.
Test(directory, withoutRootsEveryDaemonAsksTheStore)
{
    DirectCluster cluster{12, 3, 8};
    add(cluster, 1);
    cluster.time.run(10s);
    for (std::size_t root = 0; root < 3; ++root)
        cluster.kill(root);
    add(cluster, 1, "x draining");
    cluster.time.run(3s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// The store is down and one daemon is replaced. It takes the view of the others, however old.
Test(directory, aNewProcessTakesTheViewOfThePeersWhileTheStoreIsDown)
{
    DirectCluster cluster{8, 3, 9};
    add(cluster, 1);
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

// All daemons are killed while the store is down: nobody knows anything. Once it is back, all
// are ready soon, and no storm of calls greets it.
Test(directory, allDaemonsKilledWhileTheStoreIsDown)
{
    DirectCluster cluster{30, 3, 10};
    add(cluster, 1);
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

// Sixty daemons with thin links are killed at once: a whole copy takes three seconds to pass one of
// them. When each asks its peers for one too, and gives up after a tenth of a second, what nobody
// waits for any more fills the links, and callers wait for half a minute. The store is well and has
// a wide link.
Test(directory, allDaemonsKilledWithThinLinksServeSoon)
{
    constexpr std::uint64_t targets = 3000;
    DirectCluster cluster{60, 3, 18};
    for (std::uint64_t target = 1; target <= targets; ++target)
        add(cluster, target);
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

// The same, and the store is away: a daemon that starts alone has only its peers. It gets the whole
// copy from one of them, though that takes thirty times as long as a peer takes to answer.
Test(directory, aWholeCopyComesFromAPeerOverAThinLink)
{
    constexpr std::uint64_t targets = 3000;
    DirectCluster cluster{8, 3, 19};
    for (std::uint64_t target = 1; target <= targets; ++target)
        add(cluster, target);
    cluster.time.run(10s);
    cluster.linkBytesPerSecond = targets * 70 / 3;
    cluster.store.down = true;
    cluster.kill(6);
    cluster.start(6);
    cr_assert(cluster.time.runUntil([&] { return cluster.node(6)->ready(); }, 4500ms));
}

// The store is away from all for ten seconds. The followers hear from the roots that their copies
// grow old; if all of them asked the store then, hundreds would, again and again.
Test(directory, anOutageDoesNotSendEverybodyToTheStore)
{
    DirectCluster cluster{91, 3, 14};
    add(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    const std::uint64_t before = cluster.store.calls();
    const std::uint64_t asksBefore = cluster.asks;
    cluster.time.run(10s);
    const std::uint64_t calls = cluster.store.calls() - before;
    const std::uint64_t asks = cluster.asks - asksBefore;
    cr_assert_leq(asks, 91 * 10 * 20, "%lu questions in 10 s", asks);
    // Three roots that try each second make 80; 88 followers look for themselves three times in
    // this time, at growing intervals, in case that the store is away for their roots alone: 528.
    cr_assert_leq(calls, 700, "%lu calls", calls);
    cluster.store.down = false;
    cluster.time.run(3s);
    expectAllFresh(cluster);
}

// The store is away from all for ten seconds, at the size to design for. If every follower looked
// for itself, 1,254 calls would fall into less than half a second, and again later; and if every
// one left the daemon that it has its copy from, the three roots would be asked hundreds of times a
// second.
Test(directory, anOutageAtSixHundredDaemonsIsLookedAtByFew)
{
    DirectCluster cluster{630, 3, 16};
    add(cluster, 1);
    cluster.time.run(10s);
    cluster.store.down = true;
    const std::uint64_t before = cluster.store.calls();
    std::vector<std::uint64_t> askedBefore;
    for (std::size_t root = 0; root < 3; ++root)
        askedBefore.push_back(cluster.askedOf(root));
    cluster.time.run(10s);
    const std::uint64_t calls = cluster.store.calls() - before;
    // Three roots that try each second make 80. Of each collection 12 daemons have seats at a root;
    // each looks up to four times in this time: 96. The rest is for seats that change hands.
    cr_assert_leq(calls, 300, "%lu calls", calls);
    for (std::size_t root = 0; root < 3; ++root) {
        const std::uint64_t asked = cluster.askedOf(root) - askedBefore[root];
        cr_assert_leq(asked, 10 * 60, "%lu questions to a root in 10 s", asked);
    }
    cluster.store.down = false;
    cluster.time.run(3s);
    expectAllFresh(cluster);
}

// The store refuses all roots and every third daemon, and serves the others, at the size to design
// for. A few of those that it serves look for themselves; the roots hear of it from them, and with
// the roots all others, also those that the store refuses. A drain has to be known within three
// seconds.
Test(directory, refusedRootsHearOfAChangeFromTheirFollowers)
{
    DirectCluster cluster{630, 3, 17};
    add(cluster, 1);
    cluster.time.run(10s);
    for (int index = 0; index < 630; ++index) {
        if (index < 3 || index % 3 == 0)
            cluster.store.refused.insert(index);
    }
    cluster.store.compact(); // Ends the watches that wait.
    const std::uint64_t before = cluster.store.calls();
    add(cluster, 1, "x draining");
    cluster.time.run(3s);
    const std::uint64_t calls = cluster.store.calls() - before;
    cr_assert_eq(placing(cluster, 1), 0, "%zu daemons", placing(cluster, 1));
    cr_assert_leq(calls, 200, "%lu calls", calls);
}

// The store refuses some daemons, roots among them, and serves the others. Those hear of a change
// from the others.
Test(directory, refusedDaemonsHearFromTheOthers)
{
    DirectCluster cluster{12, 3, 11};
    add(cluster, 1);
    cluster.time.run(10s);
    cluster.store.refused = {0, 1, 4, 5};
    cluster.time.run(5s);
    add(cluster, 1, "x draining");
    cluster.time.run(2s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// The store refuses all three roots and serves the others. Each follower hears that its root's copy
// grows old, and has to know of a change within three seconds all the same: its own way to the
// store is well.
Test(directory, followersOfRefusedRootsAskTheStoreInTime)
{
    for (Duration phase = 0ms; phase < 1600ms; phase += 100ms) {
        DirectCluster cluster{30, 3, 15};
        add(cluster, 1);
        cluster.time.run(10s + phase);
        cluster.store.refused = {0, 1, 2};
        cluster.store.compact(); // Ends the watches that wait.
        add(cluster, 1, "x draining");
        cluster.time.run(3s);
        cr_assert_leq(placing(cluster, 1), 3, "%zu daemons", placing(cluster, 1));
    }
}

// The store loses track of some daemons' connections: their watches wait in vain.
Test(directory, daemonsThatAreCutFromTheStoreHearFromTheOthers)
{
    DirectCluster cluster{8, 3, 12};
    add(cluster, 1);
    cluster.time.run(10s);
    cluster.store.cut = {0, 3};
    cluster.time.run(100ms);
    add(cluster, 1, "x draining");
    cluster.time.run(2s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// A daemon is cut off from all others, and keeps its way to the store.
Test(directory, aDaemonWithoutPeersAsksTheStore)
{
    DirectCluster cluster{8, 3, 13};
    add(cluster, 1);
    cluster.time.run(10s);
    cluster.cutFromPeers = {6};
    cluster.time.run(100ms);
    add(cluster, 1, "x draining");
    cluster.time.run(3s);
    cr_assert_eq(placing(cluster, 1), 0);
}

// Random faults, one on the other: daemons are killed, frozen, cut off and refused, the store
// goes down, is silent, is compacted; targets come, drain and leave. Whatever happens, a daemon's
// version never goes back and a target that has left or drained is never trusted again by a daemon
// that knew; when all faults are over, every daemon has the store's state within five seconds.
Test(directory, randomFaultsNeverBringADrainedTargetBack)
{
    constexpr std::uint64_t seeds = 300; // 109 and 34 showed faults.
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
        std::vector<std::set<std::uint64_t>> known(cluster.size()); ///< Drained, and known so.
        std::set<std::uint64_t> drained;
        for (int step = 0; step < steps; ++step) {
            const auto victim = static_cast<std::size_t>(draw(8));
            switch (draw(13)) {
            case 0:
                cluster.kill(victim);
                cluster.start(victim);
                versions[victim] = {};
                known[victim].clear();
                break;
            case 1:
                cluster.freeze(victim, std::chrono::milliseconds{500 + draw(6000)});
                break;
            case 2:
                cluster.store.down = !cluster.store.down;
                break;
            case 3:
                cluster.store.silent = !cluster.store.silent;
                break;
            case 4:
                cluster.store.deafen();
                break;
            case 5:
                cluster.store.compact();
                break;
            case 6:
                cluster.store.refused = {static_cast<int>(victim), draw(8), draw(8)};
                break;
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
                add(cluster, ++lastTarget);
                break;
            case 12:
                if (lastTarget > 0) {
                    const auto target
                        = static_cast<std::uint64_t>(1 + draw(static_cast<int>(lastTarget) - 1));
                    if (!cluster.store.has(DirectCluster::targetKey(target)))
                        break;
                    drained.insert(target);
                    add(cluster, target, "x draining");
                }
                break;
            default:
                if (!drained.empty())
                    cluster.store.erase(DirectCluster::targetKey(*drained.begin()));
                break;
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

// Another writer spoils a target's entry and goes on writing it. Daemons must stop placing flows
// there, keep all other targets, say so once, and use the target again when its entry is whole.
Test(directory, anEntryThatCannotBeReadNamesNoTarget)
{
    std::size_t said = 0;
    const auto onPorts = [&said](std::size_t, DirectPorts &ports) {
        ports.noticed = [&said](const NodeNotice &notice) {
            said += std::holds_alternative<ObjectRefused>(notice);
        };
        ports.reader.target
            = [whole = ports.reader.target](
                  const StoredObject &object) -> std::variant<RegisteredTarget, DirectoryFinding> {
            if (object.value.starts_with("spoilt"))
                return DirectoryFinding{object.key + ": state", "expected ready or draining"};
            return whole(object);
        };
    };
    DirectCluster cluster{3, 3, 9, onPorts};
    add(cluster, 1);
    add(cluster, 2);
    cr_assert(cluster.time.runUntil([&] { return allReady(cluster); }, 2s));
    for (int write = 0; write < 3; ++write) {
        add(cluster, 1, "spoilt " + std::to_string(write));
        cluster.time.run(1s);
    }
    cr_assert(placing(cluster, 1) == 0 && placing(cluster, 2) == 3);
    cr_assert_eq(said, 3, "%zu lines by 3 daemons", said);
    add(cluster, 1);
    cluster.time.run(1s);
    cr_assert_eq(placing(cluster, 1), 3);
}
