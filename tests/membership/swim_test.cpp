#include "core/membership/watchers.h"
#include "support/fake_control_net.h"

#include <set>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

const std::string Raml = "alx-raml";

/// \brief A failure domain whose daemons have discovered each other.
struct Domain : FakeControlNet
{
    explicit Domain(std::size_t size, std::uint64_t seed = 1)
        : FakeControlNet(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            add(Raml);
        startAll();
        run(20s);
    }

    [[nodiscard]] std::optional<MemberState> stateAt(std::size_t viewer, std::size_t subject)
    {
        const ViewPtr view = node(viewer).view();
        const Member *member = view->find(identity(subject).daemon);
        return member ? std::optional{member->state} : std::nullopt;
    }
    /// \return Whether every other running daemon sees the subject in this state.
    [[nodiscard]] bool allSee(std::size_t subject, std::optional<MemberState> state)
    {
        for (std::size_t viewer = 0; viewer < size(); ++viewer) {
            if (viewer != subject && alive(viewer) && stateAt(viewer, subject) != state)
                return false;
        }
        return true;
    }
    [[nodiscard]] std::size_t deathsNoticed() const
    {
        return static_cast<std::size_t>(
            std::count_if(notices.begin(), notices.end(), [](const Notice &notice) {
                return notice.text.find("considered dead") != std::string::npos;
            }));
    }
};

} // namespace

Test(membership, daemonsDiscoverEachOther)
{
    for (const std::size_t size : {1, 2, 9, 40}) {
        Domain net{size};
        for (std::size_t viewer = 0; viewer < size; ++viewer)
            cr_assert(net.node(viewer).view()->members.size() == size, "%zu of %zu",
                      net.node(viewer).view()->members.size(), size);
        cr_assert(net.deathsNoticed() == 0);
    }
}

// A daemon is killed. All others must remove it within seconds, but only after a suspicion period,
// since a false removal moves its targets needlessly.
Test(membership, deadDaemonIsSuspectedThenRemoved)
{
    Domain net{40};
    const TimePoint killed = net.now();
    net.kill(17);
    cr_assert(net.runUntil([&] { return net.stateAt(3, 17) == MemberState::Suspect; }, 8s));
    cr_assert(net.runUntil([&] { return net.allSee(17, std::nullopt); }, 15s));
    cr_assert(net.now() - killed > 4s);
    cr_assert(net.now() - killed < 12s);
    net.run(30s);
    cr_assert(net.allSee(17, std::nullopt), "it was added again by a rumor or the VM list");
    net.start(17);
    cr_assert(net.runUntil([&] { return net.allSee(17, MemberState::Alive); }, 10s));
}

// A fifth of all datagrams is lost for five minutes. Indirect pings and refutation must keep every
// member in the views.
Test(membership, lossAloneRemovesNobody)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Domain net{20, seed};
        net.lossPercent = 20;
        net.run(5min);
        cr_expect(net.deathsNoticed() == 0, "seed %lu: %zu deaths", seed, net.deathsNoticed());
    }
}

// The path between two daemons is cut in both directions; all other daemons still reach both.
// Neither may be removed.
Test(membership, cutBetweenTwoDaemonsRemovesNeither)
{
    Domain net{9};
    net.drop = [](std::size_t from, std::size_t to, const PeerMessage &) {
        return (from == 2 && to == 5) || (from == 5 && to == 2);
    };
    net.run(2min);
    cr_assert(net.deathsNoticed() == 0, "%zu deaths", net.deathsNoticed());
}

// A live migration of a VM: its network stops, and three seconds later its daemon stalls for a
// minute, by then suspecting some other members. It must not consider them dead on resumption,
// since it could not read their answers, and must return to their views soon.
Test(membership, stalledDaemonSuspectsNobodyAndRejoins)
{
    Domain net{20};
    net.cutNode(4);
    net.run(3s);
    net.freeze(4);
    net.run(60s);
    net.healAll();
    cr_assert(net.allSee(4, std::nullopt));
    const std::size_t deaths = net.deathsNoticed();
    net.thaw(4);
    net.run(100ms);
    cr_assert(net.node(4).view()->members.size() == 20);
    cr_assert(net.runUntil([&] { return net.allSee(4, MemberState::Alive); }, 15s));
    net.run(20s);
    cr_assert(net.deathsNoticed() == deaths, "%zu more deaths", net.deathsNoticed() - deaths);
    cr_assert(net.allSee(4, MemberState::Alive));
}

// A daemon loses its network for five minutes, so that it and the others consider each other dead.
// Once the network is back they must find each other, even if the platform is down, and if the seed
// is gone as well.
Test(membership, cutOffDaemonRejoins)
{
    for (const int gone : {0, 1, 2}) {
        Domain net{9};
        const std::size_t left = gone == 2 ? 8 : 9;
        if (gone >= 1)
            net.cutPlatform(Raml);
        if (gone == 2)
            net.kill(0);
        net.cutNode(4);
        net.run(5min);
        cr_assert(net.allSee(4, std::nullopt));
        cr_assert(net.node(4).view()->members.size() == 1);
        net.healAll();
        const Duration limit = gone == 2 ? 40s : 20s;
        cr_assert(net.runUntil([&] { return net.allSee(4, MemberState::Alive); }, limit));
        cr_assert(net.runUntil([&] { return net.node(4).view()->members.size() == left; }, limit));
    }
}

// A daemon announces its shutdown. From then on it must own no targets in any view, not even while
// it no longer answers and is about to be removed.
Test(membership, leavingDaemonOwnsNothingFromItsAnnouncementOn)
{
    Domain net{20};
    const auto owns = [&](std::size_t viewer) {
        const ViewPtr view = net.node(viewer).view();
        for (std::uint64_t target = 1; target < 500; ++target) {
            if (view->ownerOf(TargetId{target})->id == net.identity(6).daemon)
                return true;
        }
        return false;
    };
    cr_assert(owns(0));
    net.handle(6, AnnounceLeave{});
    cr_assert(net.runUntil([&] { return net.allSee(6, MemberState::Leaving); }, 2s));
    cr_assert(!owns(0) && !owns(6));
    net.kill(6);
    while (!net.allSee(6, std::nullopt)) {
        net.run(100ms);
        for (std::size_t viewer = 0; viewer < net.size(); ++viewer)
            cr_assert(!net.alive(viewer) || !owns(viewer));
        cr_assert(net.now() < TimePoint{120s});
    }
}

// The VM list flags a VM as leaving: its daemon owns nothing, though it announced nothing itself.
// The list lags and can stay wrong; once the flag is gone, the daemon is back within a minute.
Test(membership, leavingFlagOfTheVmListIsAHint)
{
    Domain net{9};
    net.platform.vms[3].leaving = true;
    cr_assert(net.runUntil([&] { return net.allSee(3, MemberState::Leaving); }, 20s));
    net.run(20s);
    cr_assert(net.allSee(3, MemberState::Leaving));
    net.platform.vms[3].leaving = false;
    cr_assert(net.runUntil([&] { return net.allSee(3, MemberState::Alive); }, 90s));
}

// The VM list lags: it still lists a VM that is gone and does not yet list one that has started.
Test(membership, vmListAloneNeitherAddsNorRemoves)
{
    Domain net{9};
    net.add(Raml); // Listed, but not started.
    net.unlist(2); // Running, but not listed.
    net.run(2min);
    cr_assert(net.allSee(9, std::nullopt));
    cr_assert(net.allSee(2, MemberState::Alive));
    net.start(9);
    cr_assert(net.runUntil([&] { return net.allSee(9, MemberState::Alive); }, 15s));
}

// A daemon is restarted too fast for its absence to be noticed. The new incarnation must replace
// the old one and must not inherit a suspicion of it.
Test(membership, newIncarnationReplacesTheOld)
{
    Domain net{9};
    for (int round = 0; round < 3; ++round) {
        net.restart(5);
        net.run(6s);
        for (std::size_t viewer = 0; viewer < net.size(); ++viewer) {
            const ViewPtr view = net.node(viewer).view();
            const Member *member = view->find(net.identity(5).daemon);
            cr_assert(member && member->incarnation == net.identity(5).incarnation);
            cr_assert(member->state == MemberState::Alive);
        }
    }
    cr_assert(net.deathsNoticed() == 0);
}

Test(membership, remoteDaemonsComeFromTheVmListAndFromRumors)
{
    FakeControlNet net{3};
    for (const char *domain : {"alx-raml", "alx-smouha"}) {
        for (int i = 0; i < 12; ++i)
            net.add(domain);
    }
    net.startAll();
    net.run(20s);
    const auto remoteAt = [&](std::size_t viewer) {
        return net.node(viewer).view()->remote.at("alx-smouha").size();
    };
    for (std::size_t viewer = 0; viewer < 12; ++viewer)
        cr_assert(remoteAt(viewer) == 12);
    net.start(net.add("alx-smouha"));
    net.kill(20);
    net.unlist(20);
    net.run(3min);
    for (std::size_t viewer = 0; viewer < 12; ++viewer) {
        const ViewPtr view = net.node(viewer).view();
        std::set<DaemonId> known;
        for (const Member &member : view->remote.at("alx-smouha"))
            known.insert(member.id);
        cr_assert(known.contains(net.identity(24).daemon), "%zu lacks the new one", viewer);
        cr_assert(!known.contains(net.identity(20).daemon), "%zu has the dead one", viewer);
    }
}

Test(membership, watcherCountIsIndependentOfDomainSize)
{
    Domain net{40};
    std::size_t watchers = 0;
    for (std::size_t viewer = 0; viewer < net.size(); ++viewer) {
        const ViewPtr view = net.node(viewer).view();
        if (watcherRank(view->domain, view->members, 2, view->self))
            ++watchers;
    }
    cr_assert(watchers == 2);
}
