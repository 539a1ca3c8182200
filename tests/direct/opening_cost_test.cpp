#include "support/direct_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Domains = 5;

/// \brief Targets of one service in five failure domains, the daemon's own among them.
struct LargeFleet : DirectFleet
{
    explicit LargeFleet(std::uint64_t targets)
    {
        for (std::uint64_t id = 1; id <= targets; ++id)
            add(id, id % Domains == 0 ? "alx-raml" : "alx-" + std::to_string(id % Domains));
    }

    /// \return Targets that are looked at for an opening, on average.
    [[nodiscard]] double examinedPerOpening(std::uint16_t openings)
    {
        const std::uint64_t before = router().targets().examined();
        for (std::uint16_t caller = 0; caller < openings; ++caller)
            (void)open(caller);
        return static_cast<double>(router().targets().examined() - before) / openings;
    }
};

} // namespace

// Guards against openings that take longer the more targets a service has.
Test(opening_cost, does_not_grow_with_the_targets_of_a_service)
{
    const double few = LargeFleet{2000}.examinedPerOpening(100);
    const double many = LargeFleet{8000}.examinedPerOpening(100);
    cr_assert(few <= 128 && many <= few, "%g and %g", few, many);
}

// Guards against load that is less even, as not all targets are looked at.
Test(opening_cost, flows_stay_even_over_many_targets)
{
    LargeFleet fleet{8000};
    constexpr std::uint16_t flows = 6400;
    for (std::uint16_t caller = 0; caller < flows; ++caller)
        (void)fleet.establish(caller);
    std::uint32_t most = 0;
    std::uint32_t local = 0;
    for (const auto &[id, target] : fleet.router().targets().all()) {
        most = std::max(most, target.openFlows);
        local += target.local ? target.openFlows : 0;
    }
    cr_assert_eq(local, flows);
    cr_assert(most <= 2 * flows / (8000 / Domains), "%u", most);
}

// Guards against callers that are refused, as the few targets that take flows are not among those
// that were looked at.
Test(opening_cost, the_last_target_that_takes_flows_is_found)
{
    LargeFleet fleet{8000};
    constexpr std::uint64_t last = 4000;
    for (std::uint64_t id = Domains; id <= 8000; id += Domains) {
        if (id != last)
            fleet.router().setReported(TargetId{id}, true, fleet.now);
    }
    for (std::uint16_t caller = 0; caller < 3; ++caller)
        cr_assert(fleet.establish(caller).target == TargetId{last});
}

// Guards against a service whose flows all go to the targets that registered first.
Test(opening_cost, every_target_of_many_gets_flows)
{
    LargeFleet fleet{8000};
    for (std::uint16_t caller = 0; caller < 12'800; ++caller)
        (void)fleet.establish(caller);
    std::size_t idle = 0;
    for (const auto &[id, target] : fleet.router().targets().all())
        idle += target.local && target.openFlows == 0;
    cr_assert(idle <= 16, "%zu", idle);
}

// Guards against callers that meet failed targets, while this daemon knows some that respond.
Test(opening_cost, targets_that_responded_lately_are_preferred_to_unknown_ones)
{
    LargeFleet fleet{8000};
    std::set<TargetId> used;
    std::uint16_t caller = 0;
    const auto serve = [&] {
        const DeliverSegment placed = fleet.establish(++caller);
        (void)fleet.route(DirectFleet::data(caller, placed.label, 0, 100, 1));
        fleet.now += caller % 2 == 0 ? 20ms : 40ms;
        (void)fleet.route(DirectFleet::data(caller, placed.label, 100, 0, 500));
        Segment end = DirectFleet::data(caller, placed.label, 100, 0, 500);
        end.finishes = true;
        (void)fleet.route(end);
        return placed.target;
    };
    // So few that the targets that are drawn at random hold hardly one of them.
    for (int request = 0; request < 20; ++request)
        used.insert(serve());
    std::size_t again = 0;
    for (int request = 0; request < 100; ++request)
        again += used.contains(serve());
    cr_assert(again >= 80, "%zu", again);
}
