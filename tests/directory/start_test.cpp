#include "support/direct_cluster.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t Roots = 3;
constexpr std::uint64_t Targets = 600;
/// Targets in one page of a list.
constexpr std::size_t PageObjects = 50;
/// All VMs start within this time, in random order.
constexpr Duration StartSpread = 300ms;
/// Handling of one query on a connection of its own, on a VM with 0.038 of a core.
constexpr Duration QueryHandlingTime = 2ms;
/// Limit on the control traffic of a daemon's link, in bytes a second.
constexpr std::uint64_t ControlBytes = 2000;
/// Overhead of each message: HTTP, TCP and IP headers, and half an acknowledgement.
constexpr std::uint64_t HeaderBytes = 142;
/// From the power loss of a VM to its next start.
constexpr Duration PowerOffTime = 2s;
/// Time within which a restarted daemon has to be ready.
constexpr Duration ServesWithin = 1s;

/// \brief A system whose daemons have not started yet.
struct Fleet
{
    DirectCluster cluster;

    Fleet(std::size_t size, Duration startupWait)
        : cluster(
            size, Roots, 7, [](std::size_t, DirectCallbacks &) {}, settings(startupWait))
    {
        for (std::size_t index = 0; index < size; ++index)
            cluster.kill(index);
        cluster.store.pageObjects = PageObjects;
        cluster.handling = QueryHandlingTime;
        for (std::uint64_t target = 1; target <= Targets; ++target)
            cluster.store.put(DirectCluster::targetKey(target), "x ready");
    }

    [[nodiscard]] static DirectNodeSettings settings(Duration startupWait)
    {
        DirectNodeSettings settings;
        settings.peers.startupWait = startupWait;
        return settings;
    }

    /// \brief Starts some daemons within StartSpread.
    void start(const std::vector<std::size_t> &daemons)
    {
        Random random{11};
        boost::random::uniform_int_distribution<Duration::rep> wait{0, StartSpread.count()};
        for (const std::size_t index : daemons)
            cluster.time.after(Duration{wait(random)}, [this, index] {
                cluster.withoutPower.erase(index);
                cluster.start(index);
            });
    }

    /// \brief Kills some daemons, keeps their VMs without power for a while, then starts them.
    void losePower(const std::vector<std::size_t> &daemons)
    {
        for (const std::size_t index : daemons) {
            cluster.withoutPower.insert(index);
            cluster.kill(index);
        }
        cluster.time.run(PowerOffTime);
        start(daemons);
    }

    /// \return All daemons, or of each five those whose number is below \a ofFive.
    [[nodiscard]] std::vector<std::size_t> daemons(std::size_t ofFive = 5) const
    {
        std::vector<std::size_t> out;
        for (std::size_t index = 0; index < cluster.size(); ++index) {
            if (index % 5 < ofFive)
                out.push_back(index);
        }
        return out;
    }

    /// \return Calls to the store as it charges them: a read from an old replica counts a tenth.
    [[nodiscard]] double chargedCalls() const
    {
        return static_cast<double>(cluster.store.calls())
               - 0.9 * static_cast<double>(cluster.store.cheapCalls());
    }

    [[nodiscard]] std::size_t fresh()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            count += cluster.node(index) && cluster.node(index)->fresh();
        return count;
    }

    [[nodiscard]] std::size_t ready()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            count += cluster.node(index) && cluster.node(index)->ready();
        return count;
    }

    /// \return The largest number of connections that a daemon had at once.
    [[nodiscard]] std::size_t maxConnections() const
    {
        std::size_t most = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            most = std::max(most, cluster.connectionsOf(index).most());
        return most;
    }
};

void expectTreeForms(std::size_t daemons)
{
    Fleet fleet{daemons, 3s};
    fleet.start(fleet.daemons());
    fleet.cluster.time.run(3s);
    cr_expect_eq(fleet.ready(), daemons, "%zu of %zu daemons are ready after 3 s", fleet.ready(),
                 daemons);
    fleet.cluster.time.run(11s);
    const std::uint64_t calls = fleet.cluster.store.calls();
    // Three roots list 13 pages and watch two collections, 1.5 s each: 102 calls in 14 s.
    cr_expect_leq(fleet.maxConnections(), 4100 / 4, "a share of a VM's descriptors");
    cr_expect_leq(calls, 150, "%lu calls to the store, %lu queries, at most %zu connections", calls,
                  fleet.cluster.queries, fleet.maxConnections());
}

} // namespace

// All daemons of a large system start for the first time. Guards against daemons that are turned
// away without a referral: they fall back to the store and stay there.
Test(start, threeHundredDaemonsFindTheirPlaces)
{
    expectTreeForms(300);
}
Test(start, sixHundredDaemonsFindTheirPlaces)
{
    expectTreeForms(630);
}
Test(start, aThousandDaemonsFindTheirPlaces)
{
    expectTreeForms(1000);
}

// Guards against daemons with a follower slot in another failure domain that query the root of
// their local domain each second for a free slot: that root then sent more than its share of
// control traffic.
Test(start, aQuietTreeKeepsToItsShareOfTheLinks)
{
    constexpr std::uint64_t seconds = 15;
    Fleet fleet{630, 3s};
    fleet.start(fleet.daemons());
    fleet.cluster.time.run(20s);
    fleet.cluster.countBytes = true;
    fleet.cluster.time.run(std::chrono::seconds{seconds});
    for (std::size_t index = 0; index < fleet.cluster.size(); ++index) {
        const auto [bytes, messages] = fleet.cluster.sentBy(index);
        cr_expect_leq(bytes + messages * HeaderBytes, seconds * ControlBytes, "daemon %zu", index);
    }
}

// All daemons of a running system are killed, and callers wait. Each queries the store, which has a
// wide link, rather than wait for a tree to form; most pages may come from old replicas, which is
// cheap.
Test(start, allThatWereKilledServeSoon)
{
    Fleet fleet{300, 0s};
    fleet.start(fleet.daemons());
    fleet.cluster.time.run(10s);
    for (const std::size_t index : fleet.daemons())
        fleet.cluster.kill(index);
    const double before = fleet.chargedCalls();
    fleet.start(fleet.daemons());
    fleet.cluster.time.run(StartSpread + ServesWithin);
    cr_expect_eq(fleet.ready(), 300, "%zu daemons", fleet.ready());
    fleet.cluster.time.run(5s);
    cr_expect_eq(fleet.fresh(), 300, "%zu daemons", fleet.fresh());
    // A first page of each collection, eleven cheap ones, and a watch that completes the list: 4.1
    // calls a daemon. The rest are the roots' watches.
    cr_expect_leq(fleet.chargedCalls() - before, 300 * 4.5, "%.0f calls",
                  fleet.chargedCalls() - before);
}

// Two of five daemons are replaced at once. The others have complete copies, so the store must not
// be queried.
Test(start, daemonsStartedBesideOthersDoNotQueryTheStore)
{
    Fleet fleet{300, 0s};
    fleet.start(fleet.daemons());
    fleet.cluster.time.run(10s);
    const auto replaced = fleet.daemons(2);
    for (const std::size_t index : replaced) {
        if (index >= Roots)
            fleet.cluster.kill(index);
    }
    const double before = fleet.chargedCalls();
    std::vector<std::size_t> followers = replaced;
    std::erase_if(followers, [](std::size_t index) { return index < Roots; });
    fleet.start(followers);
    fleet.cluster.time.run(StartSpread + ServesWithin);
    cr_expect_eq(fleet.ready(), 300, "%zu daemons", fleet.ready());
    fleet.cluster.time.run(5s);
    // Three roots watch two collections, 1.5 s each: 25 calls in this time.
    cr_expect_leq(fleet.chargedCalls() - before, 60, "%.0f calls", fleet.chargedCalls() - before);
}

// Four fifths of the daemons, including all roots, lose power while the store is unavailable.
// Guards against restarted daemons that don't find the surviving ones, so that their callers wait
// for the store.
Test(start, daemonsRestartedInAnOutageFindTheSurvivors)
{
    for (const Duration outage : {500ms, 5000ms}) {
        Fleet fleet{300, 0s};
        fleet.start(fleet.daemons());
        fleet.cluster.time.run(10s);
        fleet.cluster.store.down = true;
        fleet.cluster.time.run(outage);
        const std::uint64_t queries = fleet.cluster.queries;
        fleet.losePower(fleet.daemons(4));
        fleet.cluster.time.run(StartSpread + ServesWithin);
        cr_expect_eq(fleet.ready(), 300, "%zu daemons, store unavailable for %ld us", fleet.ready(),
                     outage.count());
        // For each daemon a path down the tree and a few rounds without an answer.
        cr_expect_leq(fleet.cluster.queries - queries, 300 * 30, "%lu queries",
                      fleet.cluster.queries - queries);
        fleet.cluster.store.down = false;
        fleet.cluster.time.run(5s);
        cr_expect_eq(fleet.fresh(), 300, "%zu daemons", fleet.fresh());
    }
}

// One root fails, then all three: the other daemons have to find sources, or the store, within the
// time in which a change has to be in force.
Test(start, daemonsReplaceLostRoots)
{
    for (const std::size_t lost : {std::size_t{1}, Roots}) {
        Fleet fleet{300, 0s};
        fleet.start(fleet.daemons());
        fleet.cluster.time.run(10s);
        for (std::size_t root = 0; root < lost; ++root)
            fleet.cluster.kill(root);
        fleet.cluster.store.put(DirectCluster::targetKey(1), "x draining");
        fleet.cluster.time.run(3s);
        std::size_t placing = 0;
        for (std::size_t index = lost; index < fleet.cluster.size(); ++index)
            placing += fleet.cluster.places(index, 1);
        cr_expect_eq(placing, 0, "%zu daemons, %zu roots lost", placing, lost);
    }
}
