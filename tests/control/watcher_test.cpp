#include "core/config/log_keys.h"
#include "core/membership/watchers.h"
#include "support/cluster.h"
#include "support/recompute_checksum.h"

#include "support/expect_no_violations.h" // With Criterion, which has to come after Boost.

using namespace baobabtrail;
using namespace baobabtrail::test;

// A watch skips the first of two changes, and no peer is reachable. The second change reveals the
// gap, and the watcher must read the missing record at once instead of at the next periodic list.
Test(watcher, skippedObjectIsReadOnceTheNextOneShowsTheGap)
{
    Cluster net{11};
    net.fault = [](std::size_t, const PlatformRequest &request) {
        return kindOf(request) == CallKind::Watch ? PlatformFault::WatchSkips : PlatformFault::None;
    };
    net.run(25s);
    net.drop = [](std::size_t, std::size_t, const PeerMessage &) { return true; };
    cr_assert(!net.accept(1, weightChange("w1", 50)).isNull());
    const Revision second = net.accept(1, weightChange("w2", 60));
    net.run(200ms);
    std::size_t watchers = 0;
    for (std::size_t node = 0; node < net.size(); ++node) {
        const ViewPtr view = net.node(node).view();
        if (!watcherRank(view->domain, view->members, 2, view->self))
            continue;
        ++watchers;
        cr_assert(net.revision(node) == second);
    }
    cr_assert(watchers == 6);
}

// The watchers of a domain lose the platform, and the domain is cut off from the others. Its other
// daemons still reach the platform and must read the log themselves.
Test(watcher, daemonsReadTheLogWhereTheirWatchersCannot)
{
    Cluster net{3, 8};
    std::set<std::size_t> watchers;
    for (std::size_t node = 0; node < 8; ++node) {
        const ViewPtr view = net.node(node).view();
        if (watcherRank(view->domain, view->members, 2, view->self))
            watchers.insert(node);
    }
    cr_assert(watchers.size() == 2);
    std::size_t lists = 0; // By daemons that are not watchers.
    net.fault = [&](std::size_t node, const PlatformRequest &request) {
        if (watchers.contains(node))
            return PlatformFault::Down;
        lists += node < 8 && kindOf(request) == CallKind::List;
        return PlatformFault::None;
    };
    net.cutDomains("alx-raml", "alx-smouha");
    net.cutDomains("alx-raml", "alx-agami");
    net.run(60s);
    const Revision revision = net.accept(12, weightChange("w", 50));
    cr_assert(net.runUntil([&] { return net.everywhere(revision); }, 10s));
    lists = 0;
    net.run(60s);
    cr_assert(lists < 45, "%zu lists in a minute, two watchers make 28", lists);
    expectNoViolations(net, "watchers cut off");
}

// Every watch stalls once. The periodic list finds the first change seconds late; before the second
// one the watches must have been replaced.
Test(watcher, silentWatchIsReplaced)
{
    Cluster net{11};
    std::set<std::size_t> silenced;
    net.fault = [&](std::size_t node, const PlatformRequest &request) {
        const bool first = kindOf(request) == CallKind::Watch && silenced.insert(node).second;
        return first ? PlatformFault::WatchSilent : PlatformFault::None;
    };
    net.run(21s); // By now every watch is a stalled one with most of its timeout left.
    const std::set<std::size_t> watchers = silenced;
    net.drop = [](std::size_t, std::size_t, const PeerMessage &) { return true; };
    net.accept(1, weightChange("w1", 50));
    net.run(8s);
    const Revision second = net.accept(1, weightChange("w2", 60));
    net.run(200ms);
    for (const std::size_t watcher : watchers)
        cr_expect(net.revision(watcher) == second, "daemon %zu", watcher + 1);
}

// The platform refuses the first calls of a daemon that starts alone. It must retry before its next
// periodic list.
Test(watcher, readAtStartIsRetried)
{
    Cluster net{5};
    net.accept(1, weightChange("w", 50));
    for (std::size_t node = 0; node < 9; ++node)
        net.kill(node);
    int left = 2;
    net.fault = [&](std::size_t, const PlatformRequest &request) {
        const bool refused = kindOf(request) == CallKind::List && left-- > 0;
        return refused ? PlatformFault::RateLimited : PlatformFault::None;
    };
    net.start(2);
    cr_assert(net.runUntil([&] { return net.revision(2) == Revision{2}; }, 3500ms));
}

// The platform refuses every call with a retry-after of 40 s. Calling at the normal rate would keep
// it overloaded.
Test(watcher, retryAfterIsHonoured)
{
    Cluster net{5};
    net.run(21s);
    net.retryAfter = 40s;
    net.fault = [](std::size_t, const PlatformRequest &) { return PlatformFault::RateLimited; };
    net.run(21s);
    const std::uint64_t before = net.totalCalls();
    net.run(2min);
    const std::uint64_t calls = net.totalCalls() - before;
    constexpr std::uint64_t Kinds = 4; // Watch, list, VM list, and snapshots or startup.
    cr_assert(calls <= net.size() * Kinds * 3, "%lu calls in three times 40 s", calls);
}

// An object of the log is damaged, or written by a newer version with a command that this one does
// not know. Daemons must stop before it, report it and keep serving, and continue once it is
// repaired.
Test(watcher, daemonsStopBeforeABadRecordAndReportIt)
{
    for (const bool unknownKind : {false, true}) {
        Cluster net;
        const Revision revision = net.accept(0, weightChange("w", 50));
        net.run(12s);
        StoredObject &object = net.platform.objects.at(logKey(revision));
        const std::string good = object.value;
        std::string bad = good;
        const std::size_t at = bad.find("set-weight");
        bad.replace(at, 10, unknownKind ? "new-weight" : "set\xffweight");
        object.value = unknownKind ? recomputeChecksum(bad) : bad;
        for (std::size_t node = 0; node < 9; ++node)
            net.kill(node);
        net.startAll();
        net.run(30s);
        cr_assert(net.everywhere(Revision{1}) && !net.everywhere(revision));
        cr_assert(net.noticed("serving on revision 1"));
        const auto loud = std::count_if(net.notices.begin(), net.notices.end(), [](const auto &n) {
            return n.severity == Severity::Error;
        });
        cr_assert(loud >= 1 && loud <= 9, "%ld errors", static_cast<long>(loud));
        const ProposalId id = net.propose(5, weightChange("next", 70));
        net.run(10s);
        cr_assert(net.get<ProposalUnknown>(id) != nullptr);
        net.platform.objects.at(logKey(revision)).value = good;
        cr_assert(net.runUntil([&] { return net.everywhere(revision); }, 10s));
        expectNoViolations(net, "bad record");
    }
}

// The number of platform calls must not grow with the number of daemons, neither under changes nor
// while the platform is down and every daemon has a reason to read the log itself.
Test(watcher, platformCallsDoNotGrowWithDaemons)
{
    for (const bool down : {false, true}) {
        std::vector<std::uint64_t> counts;
        for (const std::size_t perDomain : {3, 20}) {
            Cluster net{5, perDomain};
            net.run(30s);
            if (down)
                net.fault
                    = [](std::size_t, const PlatformRequest &) { return PlatformFault::Down; };
            net.run(30s);
            const std::uint64_t before = net.totalCalls();
            for (int i = 0; i < 20; ++i) {
                if (!down)
                    net.accept(1, weightChange("w" + std::to_string(i), 50));
                net.run(3s);
            }
            counts.push_back(net.totalCalls() - before);
            expectNoViolations(net, "calls");
        }
        // While it is down, up to two daemons besides the watchers list in each period; in a domain
        // of three only one daemon can.
        const std::uint64_t bound = down ? counts[0] * 14 / 10 : counts[0] * 11 / 10;
        cr_assert(counts[1] <= bound, "down %d: %lu calls by 9 daemons, %lu by 60", down, counts[0],
                  counts[1]);
    }
}

// All VMs start at the same time, without seeds, and the VM list lags by half a second, so the
// first list is empty for every daemon. Daemons must discover each other within seconds: one that
// knows only itself would report a change as in force everywhere.
Test(watcher, daemonsThatStartTogetherFindEachOtherWithinSeconds)
{
    FakeControlNet net{1, {}};
    for (const char *domain : Cluster::Domains) {
        for (int i = 0; i < 3; ++i)
            net.add(domain);
    }
    net.forgetSeeds();
    const auto listed = std::exchange(net.platform.vms, {});
    net.startAll();
    net.run(500ms);
    net.platform.vms = listed;
    net.run(3s);
    for (std::size_t node = 0; node < net.size(); ++node) {
        const ViewPtr view = net.node(node).view();
        cr_expect(view->members.size() == 3 && view->remote.size() == 2, "daemon %zu", node);
    }
}
