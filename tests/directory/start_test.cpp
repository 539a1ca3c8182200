#include "support/direct_cluster.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t Roots = 3;
constexpr std::uint64_t Targets = 600;
/// Objects of the targets in one page of the store.
constexpr std::size_t PageObjects = 50;
/// All VMs start within this time, in any order.
constexpr Duration StartSpread = 300ms;
/// One question takes 0.15 ms of a core, of which the smallest VM has 0.038.
constexpr Duration Handling = 4ms;

/// \brief A system whose daemons have not started yet.
struct Fleet
{
    DirectCluster cluster;

    Fleet(std::size_t size, Duration patience)
        : cluster(
            size, Roots, 7, [](std::size_t, DirectPorts &) {}, settings(patience))
    {
        for (std::size_t index = 0; index < size; ++index)
            cluster.kill(index);
        cluster.store.pageObjects = PageObjects;
        cluster.handling = Handling;
        for (std::uint64_t target = 1; target <= Targets; ++target)
            cluster.store.put(DirectCluster::targetKey(target), "x ready");
    }

    [[nodiscard]] static DirectNodeSettings settings(Duration patience)
    {
        DirectNodeSettings settings;
        settings.peers.patience = patience;
        return settings;
    }

    void startAll()
    {
        Random random{11};
        boost::random::uniform_int_distribution<Duration::rep> wait{0, StartSpread.count()};
        for (std::size_t index = 0; index < cluster.size(); ++index)
            cluster.time.after(Duration{wait(random)}, [this, index] { cluster.start(index); });
    }

    [[nodiscard]] std::size_t ready()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            count += cluster.node(index) && cluster.node(index)->ready();
        return count;
    }

    /// \return Most connections that a daemon had at once.
    [[nodiscard]] std::size_t mostConnections() const
    {
        std::size_t most = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            most = std::max(most, cluster.connectionsOf(index).most());
        return most;
    }

    [[nodiscard]] std::size_t refused() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < cluster.size(); ++index)
            count += cluster.connectionsOf(index).refused();
        return count;
    }
};

void expectTreeForms(std::size_t daemons)
{
    Fleet fleet{daemons, 3s};
    fleet.startAll();
    fleet.cluster.time.run(3s);
    cr_expect_eq(fleet.ready(), daemons, "%zu of %zu daemons have a view after 3 s", fleet.ready(),
                 daemons);
    fleet.cluster.time.run(11s);
    const std::uint64_t calls = fleet.cluster.store.calls();
    // Three roots list 13 pages and watch two collections, 1.5 s each: 14 s make 102.
    cr_expect_leq(calls, 150, "%lu calls to the store, %lu questions, %zu closed without an answer",
                  calls, fleet.cluster.asks, fleet.refused());
}

} // namespace

// All daemons of a large system start for the first time, and nobody is told where to find a place:
// those that are turned away end at the store, and stay there.
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
