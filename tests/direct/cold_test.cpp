#include "support/direct_fleet.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr double PerSecond = 20;
constexpr std::uint64_t Cold = 1;
constexpr std::uint64_t Warm = 2;

[[nodiscard]] RouteTablePtr boundedRoutes()
{
    auto routes = std::make_shared<RouteTable>(*DirectFleet::routes(2));
    routes->warmUpLimits[DirectFleet::service()] = {2s, PerSecond};
    return routes;
}

/// \brief Daemons with one cold and, unless \a withWarm is false, one warm target. Counts the flows
/// that all of them open at the cold target.
class ColdFleet
{
public:
    ColdFleet(std::size_t size, std::size_t owners, bool withWarm = true)
        : m_owners(owners)
        , m_withWarm(withWarm)
        , m_daemons(size)
    {
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        m_daemons[index] = std::make_unique<DirectFleet>(DirectSettings{}, ++m_seed);
        DirectFleet &daemon = *m_daemons[index];
        daemon.now = now;
        daemon.router().setRoutes(boundedRoutes());
        setOwner(index, index < m_owners);
        RegisteredTarget cold = DirectFleet::target(Cold);
        cold.warmUpLeft = 60s;
        daemon.router().putTarget(cold, now);
        if (m_withWarm)
            daemon.add(Warm);
    }

    void setOwner(std::size_t index, bool isOwner)
    {
        m_daemons[index]->router().setColdOwners(m_owners, isOwner, now);
    }

    /// \brief Opens a flow at one daemon.
    void open(std::size_t index)
    {
        DirectFleet &daemon = *m_daemons[index];
        daemon.now = now;
        if (daemon.open(static_cast<std::uint16_t>(++m_caller % 50000)).target == TargetId{Cold})
            m_atCold.push_back(now);
    }

    /// \return Maximum number of flows at the cold target in any window of one second.
    [[nodiscard]] std::size_t maxWithinASecond() const
    {
        std::size_t most = 0;
        for (auto first = m_atCold.begin(); first != m_atCold.end(); ++first) {
            const auto behind = std::upper_bound(first, m_atCold.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(behind - first));
        }
        return most;
    }
    [[nodiscard]] std::size_t atCold() const noexcept { return m_atCold.size(); }

    TimePoint now{1h};

private:
    std::size_t m_owners;
    bool m_withWarm;
    std::uint64_t m_seed = 0;
    std::size_t m_caller = 0;
    std::vector<std::unique_ptr<DirectFleet>> m_daemons;
    std::vector<TimePoint> m_atCold;
};

/// \brief Opens 1,500 flows a second at random daemons, for ten seconds.
template <typename EachStep>
void openRandomly(ColdFleet &fleet, std::size_t size, std::uint64_t seed, EachStep eachStep)
{
    Random random{seed};
    boost::random::uniform_int_distribution<std::size_t> daemon{0, size - 1};
    for (int step = 0; step < 15000; ++step) {
        fleet.now += 667us;
        eachStep(step, daemon(random));
        fleet.open(daemon(random));
    }
}

} // namespace

// Guards against many daemons that each open few flows at a cold target, and together too many.
Test(cold, allDaemonsTogetherKeepToTheBound)
{
    for (const std::size_t size : {8U, 90U, 630U}) {
        ColdFleet fleet{size, 3};
        openRandomly(fleet, size, size, [](int, std::size_t) {});
        cr_assert_leq(fleet.maxWithinASecond(), PerSecond, "%zu daemons: %zu", size,
                      fleet.maxWithinASecond());
        cr_assert_gt(fleet.atCold(), 0U);
    }
}

// Guards against daemons that exceed the bound as they lose their counts in a restart, and against
// two sets of owners that are active while settings change.
Test(cold, restartsAndChangedOwnersKeepToTheBound)
{
    constexpr std::size_t size = 8;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        ColdFleet fleet{size, 3};
        openRandomly(fleet, size, seed, [&fleet](int step, std::size_t victim) {
            if (step % 97 == 0)
                fleet.start(victim);
            if (step != 5000)
                return;
            for (const std::size_t index : {3U, 4U, 5U})
                fleet.setOwner(index,
                               true); // These have read the new settings, the others haven't.
        });
        cr_assert_leq(fleet.maxWithinASecond(), PerSecond, "seed %lu: %zu", seed,
                      fleet.maxWithinASecond());
    }
}

// Guards against flows beyond the bound where no warm target is left: they are refused at once.
Test(cold, withoutAWarmTargetTheBoundHoldsToo)
{
    ColdFleet fleet{90, 3, false};
    openRandomly(fleet, 90, 1, [](int, std::size_t) {});
    cr_assert_leq(fleet.maxWithinASecond(), PerSecond);
    cr_assert_gt(fleet.atCold(), 0U);
}

// Guards against a failure domain whose targets have become cold unnoticed while it was evacuated.
Test(cold, theEndOfAnEvacuationCountsAsAStart)
{
    DirectFleet fleet;
    fleet.router().setRoutes(boundedRoutes());
    fleet.add(1);
    fleet.add(2, "alx-agami");
    (void)fleet.router().setEvacuated("alx-raml", true, fleet.now);
    (void)fleet.router().setEvacuated("alx-raml", false, fleet.now);
    for (std::uint16_t caller = 0; caller < 20; ++caller)
        cr_assert(fleet.open(caller).target == TargetId{2});
    fleet.now += 2s;
    cr_assert(fleet.open(100).target == TargetId{1});
}

// Guards against a limit where the service states none: its cold targets get flows like warm ones.
Test(cold, withoutAStatedBoundNothingIsBounded)
{
    DirectFleet fleet;
    RegisteredTarget cold = DirectFleet::target(1);
    cold.warmUpLeft = 60s;
    fleet.router().putTarget(cold, fleet.now);
    for (std::uint16_t caller = 0; caller < 100; ++caller)
        cr_assert(fleet.open(caller).target == TargetId{1});
}
