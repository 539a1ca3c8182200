#include "support/direct_fleet.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Targets = 40;
constexpr std::size_t Daemons = 30;

/// \brief The daemons of a failure domain with its targets; none sees the flows of the others.
struct DaemonGroup
{
    explicit DaemonGroup(const DirectSettings &settings = {})
    {
        for (std::size_t index = 0; index < Daemons; ++index) {
            daemons.push_back(std::make_unique<DirectFleet>(settings, index + 1));
            for (std::uint64_t id = 1; id <= Targets; ++id)
                daemons.back()->add(id);
        }
    }

    /// \brief Opens and establishes \a flows flows at each daemon.
    /// \return Number of flows by target.
    std::map<std::uint64_t, std::size_t> open(std::uint16_t flows)
    {
        std::map<std::uint64_t, std::size_t> placed;
        for (std::uint16_t flow = 0; flow < flows; ++flow) {
            for (const auto &daemon : daemons)
                ++placed[daemon->establish(m_nextCaller).target.value()];
            ++m_nextCaller;
        }
        return placed;
    }

    std::vector<std::unique_ptr<DirectFleet>> daemons;

private:
    std::uint16_t m_nextCaller = 0;
};

[[nodiscard]] std::size_t most(const std::map<std::uint64_t, std::size_t> &placed)
{
    std::size_t most = 0;
    for (const auto &[target, flows] : placed)
        most = std::max(most, flows);
    return most;
}

} // namespace

// Guards against a thundering herd: after a store outage, all daemons send every new flow to the
// first target that re-registers.
Test(thunderingHerd, theFirstToReregisterAfterAnOutageGetsItsShare)
{
    DaemonGroup fleet;
    (void)fleet.open(20);
    for (const auto &daemon : fleet.daemons) {
        for (std::uint64_t id = 1; id <= Targets; ++id)
            daemon->router().removeTarget(TargetId{id}, true, daemon->now);
        daemon->add(1);
    }
    constexpr std::uint16_t flows = 8;
    const std::size_t share = flows * Daemons / Targets;
    const auto placed = fleet.open(flows);
    cr_assert_leq(most(placed), 4 * share, "%zu where an even share is %zu", most(placed), share);
}

// Guards against lapsed targets that still get flows once most targets have re-registered: those
// that are missing then are likely gone.
Test(thunderingHerd, lapsedTargetsGetNothingOnceMostAreBack)
{
    DaemonGroup fleet;
    (void)fleet.open(5);
    for (const auto &daemon : fleet.daemons) {
        for (std::uint64_t id = 1; id <= Targets; ++id)
            daemon->router().removeTarget(TargetId{id}, true, daemon->now);
        for (std::uint64_t id = 1; id <= Targets / 2; ++id)
            daemon->add(id);
    }
    for (const auto &[target, flows] : fleet.open(5))
        cr_assert_leq(target, Targets / 2);
}
