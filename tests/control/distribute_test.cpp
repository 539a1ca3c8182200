#include "support/cluster.h"

#include "support/expect_no_violations.h" // With Criterion, which has to come after Boost.

using namespace baobabtrail;
using namespace baobabtrail::test;

// One way of distribution (watches, lists, notices between daemons or fetches) fails permanently
// for all daemons while a change is accepted. The other ways must still bring it to every daemon.
Test(distribute, everyFaultAtEveryStepIsTolerated)
{
    using enum PlatformFault;
    struct Cell
    {
        std::string name;
        std::function<void(Cluster &)> cause;
    };
    const auto platformFault = [](CallKind kind, PlatformFault how) {
        return [=](Cluster &net) {
            net.fault = [=](std::size_t, const PlatformRequest &request) {
                return kindOf(request) == kind ? how : None;
            };
        };
    };
    std::vector<Cell> cells;
    for (const auto &[how, name] :
         std::vector<std::pair<PlatformFault, std::string>>{{Down, "down"},
                                                            {Slow, "slow"},
                                                            {RateLimited, "rate-limited"},
                                                            {WatchSilent, "silent"},
                                                            {WatchSkips, "skips"}}) {
        cells.push_back({"watch " + name, platformFault(CallKind::Watch, how)});
        cells.push_back({"VM list " + name, platformFault(CallKind::ListVms, how)});
    }
    cells.push_back({"list slow", platformFault(CallKind::List, Slow)});
    cells.push_back({"notices lost", [](Cluster &net) {
                         net.drop = [](std::size_t, std::size_t, const PeerMessage &message) {
                             return std::holds_alternative<RevisionNotice>(message);
                         };
                     }});
    cells.push_back({"pings lost", [](Cluster &net) {
                         net.drop = [](std::size_t, std::size_t, const PeerMessage &message) {
                             return std::holds_alternative<Ping>(message);
                         };
                     }});
    cells.push_back({"a third of all datagrams lost", [](Cluster &net) { net.lossPercent = 33; }});
    cells.push_back({"every other fetch lost", [](Cluster &net) {
                         net.dropFetch
                             = [n = 0](std::size_t, std::size_t) mutable { return ++n % 2 == 0; };
                     }});
    cells.push_back({"watches silent and notices lost", [&](Cluster &net) {
                         platformFault(CallKind::Watch, WatchSilent)(net);
                         net.drop = [](std::size_t, std::size_t, const PeerMessage &message) {
                             return std::holds_alternative<RevisionNotice>(message);
                         };
                     }});
    cells.push_back({"watches silent and no peer reachable", [&](Cluster &net) {
                         platformFault(CallKind::Watch, WatchSilent)(net);
                         net.drop
                             = [](std::size_t, std::size_t, const PeerMessage &) { return true; };
                     }});
    cells.push_back({"no peer reachable", [](Cluster &net) {
                         net.drop
                             = [](std::size_t, std::size_t, const PeerMessage &) { return true; };
                     }});
    for (const Cell &cell : cells) {
        for (const std::size_t perDomain : {3, 8}) {
            Cluster net{7, perDomain};
            cell.cause(net);
            net.run(25s); // Watches that started before the fault have ended.
            const Revision revision = net.accept(1, weightChange("w", 50));
            net.run(10s);
            cr_expect(net.everywhere(revision) && !revision.isNull(), "%s", cell.name.c_str());
            cr_expect(!net.noticed("serving on revision"), "%s", cell.name.c_str());
            expectNoViolations(net, cell.name);
        }
    }
}

// Any daemon, watchers included, is killed, restarted or frozen while it learns of a change,
// fetches it, applies it or announces it. The others must still apply it in time, and the daemon
// itself once it is back.
Test(distribute, daemonKilledRestartedOrFrozenAtEveryStep)
{
    enum class NodeFault { Kill, Restart, Freeze };
    enum class Step { Watch, Fetch, Publish, Notify };
    const auto isAt = [](Step step, const ControlAction &action) {
        const auto *call = std::get_if<PlatformCall>(&action);
        const auto *fetch = std::get_if<FetchFromPeer>(&action);
        const auto *sent = std::get_if<ControlSendToPeer>(&action);
        switch (step) {
        case Step::Watch:
            return call && kindOf(call->request) == CallKind::Watch;
        case Step::Fetch:
            return fetch && std::holds_alternative<FetchRecords>(fetch->message);
        case Step::Publish:
            return std::holds_alternative<PublishConfig>(action);
        case Step::Notify:
            return sent && std::holds_alternative<RevisionNotice>(sent->message);
        }
        return false;
    };
    for (const NodeFault nodeFault : {NodeFault::Kill, NodeFault::Restart, NodeFault::Freeze}) {
        for (const Step step : {Step::Watch, Step::Fetch, Step::Publish, Step::Notify}) {
            for (const std::size_t victims : {1, 3}) {
                const std::string cell = std::to_string(static_cast<int>(nodeFault)) + '/'
                                         + std::to_string(static_cast<int>(step)) + '/'
                                         + std::to_string(victims);
                Cluster net{3, 4};
                std::set<std::size_t> injected;
                net.observe = [&](std::size_t node, const ControlAction &action) {
                    const bool last
                        = injected.size() >= victims || injected.contains(node) || node == 1;
                    if (last || !isAt(step, action))
                        return;
                    injected.insert(node);
                    if (nodeFault == NodeFault::Freeze)
                        net.freeze(node);
                    else
                        net.kill(node);
                };
                const Revision revision = net.accept(1, weightChange("w", 50));
                net.run(12s);
                cr_expect(net.everywhere(revision) && !revision.isNull(), "%s", cell.c_str());
                for (const std::size_t node : injected) {
                    if (nodeFault == NodeFault::Freeze)
                        net.thaw(node);
                    if (nodeFault == NodeFault::Restart)
                        net.start(node);
                }
                net.run(10s);
                cr_expect(net.everywhere(revision), "%s: not after the return", cell.c_str());
                const Revision next = net.accept(2, weightChange("w2", 60));
                net.run(11s);
                cr_expect(net.everywhere(next), "%s: next change", cell.c_str());
                expectNoViolations(net, cell);
            }
        }
    }
}

// The daemon that accepted a change announces it and then answers no fetch, which takes two seconds
// to time out. Daemons must not wait for that, since other peers have the change as well.
Test(distribute, slowFetchIsHedged)
{
    Cluster net{7, 8};
    net.dropFetch = [](std::size_t, std::size_t server) { return server == 1; };
    for (int i = 0; i < 5; ++i) {
        const Revision revision = net.accept(1, weightChange("w" + std::to_string(i), 50));
        cr_expect(net.runUntil([&] { return net.everywhere(revision); }, 1900ms), "%d", i);
        net.run(5s);
    }
}

// A peer announces a newer revision but returns no usable records. Fetching from it in a loop would
// keep both daemons busy.
Test(distribute, peerWithoutUsableRecordsIsNotQueriedInALoop)
{
    const Endpoint address{0x0a000009, 7000};
    const Endpoint records{0x0a000009, 7001};
    ControlNode node{
        {DaemonId{1}, Incarnation{1}, "alx-raml", {0x0a000001, 7000}, {0x0a000001, 7001}}, {}, 1};
    ControlActions actions;
    node.start(TimePoint{1s}, actions);
    actions.clear();
    node.handle(
        ControlFromPeer{address,
                        {DaemonId{9}, Incarnation{1}, RevisionNotice{Revision{5}, records}}},
        TimePoint{1s}, {}, actions);
    std::size_t fetches = 0;
    while (!actions.empty() && fetches < 10) {
        ControlActions next;
        for (const ControlAction &action : actions) {
            const auto *fetch = std::get_if<FetchFromPeer>(&action);
            if (!fetch)
                continue;
            ++fetches;
            node.handle(FetchResult{records, Records{}}, TimePoint{1s}, {}, next);
        }
        actions = std::move(next);
    }
    cr_assert(fetches == 1, "%zu fetches", fetches);
}

// A daemon has two queries for one peer. A result carries only the peer's address, so with both in
// flight their answers could be mixed up.
Test(distribute, onePeerIsSentOneQueryAtATime)
{
    const Endpoint address{0x0a000009, 7000};
    const Endpoint records{0x0a000009, 7001};
    ControlNode node{
        {DaemonId{1}, Incarnation{1}, "alx-raml", {0x0a000001, 7000}, {0x0a000001, 7001}}, {}, 1};
    const MemberUpdate peer{DaemonId{9}, Incarnation{1}, 0,          MemberState::Alive,
                            address,     records,        "alx-raml", Revision{5}};
    const auto fetchesIn = [](const ControlActions &actions) {
        return std::count_if(actions.begin(), actions.end(), [](const ControlAction &action) {
            return std::holds_alternative<FetchFromPeer>(action);
        });
    };
    ControlActions actions;
    node.start(TimePoint{1s}, actions);
    node.handle(ControlFromPeer{address, {DaemonId{9}, Incarnation{1}, Ping{1, {peer}, {}}}},
                TimePoint{1s}, {}, actions);
    cr_assert(fetchesIn(actions) == 1); // For the members; the query for records is queued.
    actions.clear();
    node.handle(FetchResult{records, std::nullopt}, TimePoint{1s}, {}, actions);
    cr_assert(fetchesIn(actions) == 1);
}

// A failure domain is cut off from the platform but not from the other domains. Changes are
// accepted elsewhere, and its daemons must learn of them from other domains within ten seconds.
Test(distribute, domainCutFromThePlatformLearnsOfChangesFromPeers)
{
    for (const std::size_t domain : {0, 1, 2}) {
        for (const bool noticesLost : {false, true}) {
            Cluster net{domain + 1};
            net.cutPlatform(Cluster::Domains[domain]);
            if (noticesLost)
                net.drop = [](std::size_t, std::size_t, const PeerMessage &message) {
                    return std::holds_alternative<RevisionNotice>(message);
                };
            net.run(60s);
            const std::size_t elsewhere = (domain * 3 + 3) % 9;
            const Revision revision = net.accept(elsewhere, weightChange("w", 50));
            cr_assert(!revision.isNull());
            cr_expect(net.runUntil([&] { return net.everywhere(revision); }, 10s), "%zu", domain);
            net.run(10s);
            expectNoViolations(net, "cut from the platform");
            cr_expect(net.node(domain * 3).status(net.now()).configAge < 30s);
        }
    }
}

// A failure domain is cut off from everything for ten minutes. It keeps serving its configuration
// and reports its age; a change proposed there ends as unknown, not refused. Once the partition
// heals, it must have every change within ten seconds.
Test(distribute, isolatedDomainKeepsServingAndCatchesUp)
{
    Cluster net;
    net.cutPlatform("alx-raml");
    net.cutDomains("alx-raml", "alx-smouha");
    net.cutDomains("alx-raml", "alx-agami");
    net.run(10s);
    const ProposalId inside = net.propose(0, weightChange("inside", 20));
    for (int i = 0; i < 20; ++i) {
        cr_assert(!net.accept(4, weightChange("w" + std::to_string(i), 50)).isNull());
        net.run(30s);
    }
    cr_assert(net.get<ProposalUnknown>(inside) != nullptr);
    cr_assert(net.revision(0) == Revision{1} && net.revision(8) == Revision{21});
    cr_assert(net.node(0).status(net.now()).configAge > 9min);
    cr_assert(net.noticed("Cut off from the platform: serving on revision 1"));
    net.healAll();
    cr_assert(net.runUntil([&] { return net.everywhere(Revision{21}); }, 10s));
    net.run(30s);
    cr_assert(net.node(0).status(net.now()).configAge < 10s);
    cr_assert(net.noticed("known to be the newest again"));
    cr_assert(net.node(0).view()->members.size() == 3);
    expectNoViolations(net, "cut from all");
}

// The platform is down for minutes while every VM of a failure domain is replaced: one by one, all
// at once, or all at once with the other domains unreachable at first. The new daemons must get the
// configuration from peers.
Test(distribute, domainReplacedWhileThePlatformIsDownGetsStateFromPeers)
{
    enum class How { InTurn, AtOnce, AtOnceCutOff };
    for (const How how : {How::InTurn, How::AtOnce, How::AtOnceCutOff}) {
        Cluster net;
        net.accept(3, weightChange("w", 50));
        net.run(5s);
        for (const char *domain : Cluster::Domains)
            net.cutPlatform(domain);
        net.run(60s);
        if (how == How::AtOnceCutOff) {
            net.cutDomains("alx-raml", "alx-smouha");
            net.cutDomains("alx-raml", "alx-agami");
        }
        for (std::size_t node = 0; node < 3; ++node) {
            net.restart(node);
            if (how == How::InTurn)
                net.run(20s);
        }
        if (how == How::AtOnceCutOff) {
            net.run(10s);
            net.healAll();
            for (const char *domain : Cluster::Domains)
                net.cutPlatform(domain);
        }
        cr_assert(net.runUntil([&] { return net.everywhere(Revision{2}); }, 10s), "way %d",
                  static_cast<int>(how));
        net.run(60s);
        net.healAll();
        const Revision revision = net.accept(0, weightChange("w2", 60));
        cr_assert(revision == Revision{3});
        net.run(12s);
        cr_assert(net.everywhere(revision));
        expectNoViolations(net, "replaced");
    }
}

// As above, but the new VMs have new addresses that no daemon outside their domain knows. They find
// each other first, through a seed of their own domain; only the other seeds then lead them to the
// configuration.
Test(distribute, domainOfNewAddressesFindsTheOthersThroughSeeds)
{
    Cluster net;
    net.accept(3, weightChange("w", 50));
    net.run(5s);
    for (const char *domain : Cluster::Domains)
        net.cutPlatform(domain);
    net.cutDomains("alx-raml", "alx-smouha");
    net.cutDomains("alx-raml", "alx-agami");
    for (std::size_t node = 0; node < 3; ++node)
        net.kill(node);
    std::vector<std::size_t> added;
    for (int i = 0; i < 3; ++i)
        added.push_back(net.add("alx-raml"));
    net.addSeed(added.front());
    for (const std::size_t node : added)
        net.start(node);
    net.run(20s);
    for (const std::size_t node : added)
        cr_assert(net.node(node).view()->members.size() == 3);
    net.healAll();
    for (const char *domain : Cluster::Domains)
        net.cutPlatform(domain);
    cr_assert(net.runUntil([&] { return net.everywhere(Revision{2}); }, 30s));
    expectNoViolations(net, "new addresses");
}
