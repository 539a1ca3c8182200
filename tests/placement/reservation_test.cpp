#include "core/placement/reservation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace baobabtrail;

namespace {

constexpr std::size_t Targets = 20;
constexpr double SlotsPerTarget = 2;
constexpr std::uint32_t Urgent = 1;
constexpr std::uint32_t Plain = 2;

[[nodiscard]] DomainLoad loadOf(std::map<std::uint32_t, double> byPriority,
                                std::size_t targets = Targets)
{
    DomainLoad load;
    load.domain = "alx-raml";
    load.slots = SlotsPerTarget * static_cast<double>(targets);
    for (const auto &[priority, work] : byPriority)
        load.inFlight += work;
    load.movable = load.inFlight;
    load.byPriority = std::move(byPriority);
    return load;
}

[[nodiscard]] Reservation decide(std::map<std::uint32_t, double> byPriority,
                                 const Reservation &before = {}, std::size_t targets = Targets)
{
    return reservationFor(loadOf(std::move(byPriority), targets), targets, before, {});
}

/// \brief Work in flight of requests that ask for \a demand slots on \a slots of their own: they
/// wait the longer the fewer slots are free, until the queues are full.
[[nodiscard]] double workOn(double slots, double demand)
{
    constexpr double Places = 5; // Running and waiting, for each slot.
    const double busy = demand / slots;
    return busy >= 1 ? Places * slots : std::min(demand / (1 - busy * busy), Places * slots);
}

} // namespace

Test(reservation, nothing_below_saturation)
{
    cr_assert(decide({{Urgent, 20}, {Plain, 99}}).targets == 0);
    cr_assert(decide({{Urgent, 20}, {Plain, 100}}).targets > 0);
}

Test(reservation, nothing_for_one_priority)
{
    cr_assert(decide({{Plain, 200}}).targets == 0);
    cr_assert(decide({{Urgent, 0}, {Plain, 200}}).targets == 0);
    cr_assert(decide({{Urgent, 200}, {Plain, 0}}, {Urgent, 5}).targets == 0);
}

Test(reservation, ends_once_the_load_is_relieved)
{
    cr_assert(decide({{Urgent, 10}, {Plain, 71}}, {Urgent, 4}).targets > 0);
    cr_assert(decide({{Urgent, 10}, {Plain, 70}}, {Urgent, 4}).targets == 0);
}

// Guards against a reservation of most targets that ends and begins again and again.
Test(reservation, stays_while_the_others_are_saturated)
{
    cr_assert(decide({{Urgent, 40}, {Plain, 12}}, {Urgent, 18}).targets > 0);
    cr_assert(decide({{Urgent, 40}, {Plain, 11}}, {Urgent, 18}).targets == 0);
}

Test(reservation, nothing_without_slots_or_with_a_single_target)
{
    cr_assert(decide({{Urgent, 10}, {Plain, 30}}, {}, 0).targets == 0);
    cr_assert(decide({{Urgent, 10}, {Plain, 30}}, {}, 1).targets == 0);
}

Test(reservation, leaves_a_target_to_the_others)
{
    const Reservation most = decide({{Urgent, 190}, {Plain, 1}});
    cr_assert(most.targets == Targets - 1);
    cr_assert(decide({{Urgent, 1}, {Plain, 19}}, {}, 2).targets == 1);
}

Test(reservation, the_boundary_lies_above_the_least_urgent_work)
{
    cr_assert(decide({{1, 4}, {2, 6}, {3, 190}}).priority == 2);
    cr_assert(decide({{1, 4}, {2, 6}, {3, 190}, {9, 0}}).priority == 2);
}

// Guards against protecting nobody: where nearly all work counts as urgent, the targets reserved
// for it are as full as all were before.
Test(reservation, fewer_priorities_are_urgent_where_all_would_not_fit)
{
    const Reservation narrow = decide({{1, 10}, {2, 185}, {3, 5}});
    cr_assert(narrow.priority == 1);
    cr_assert(narrow.targets >= 1 && narrow.targets <= 2);
    // Priority 2 would just fit, which is enough to keep the boundary, but not to widen it.
    cr_assert(decide({{1, 10}, {2, 90}, {3, 40}}, narrow).priority == 1);
    cr_assert(decide({{1, 10}, {2, 90}, {3, 40}}, {2, 17}).priority == 2);
    cr_assert(decide({{1, 10}, {2, 60}, {3, 70}}, narrow).priority == 2);
}

Test(reservation, the_name_of_a_priority_does_not_matter_but_its_order)
{
    cr_assert(decide({{0, 20}, {1, 180}}).targets == decide({{400, 20}, {900, 180}}).targets);
}

// Guards against a reservation of nearly all targets: while all wait in full queues, their refusals
// are work in flight too.
Test(reservation, begins_with_the_share_of_the_urgent)
{
    const std::size_t saturated = decide({{Urgent, 12}, {Plain, 108}}).targets;
    cr_assert(saturated == 2);
    cr_assert(decide({{Urgent, 48}, {Plain, 432}}).targets == saturated);
}

Test(reservation, changes_once_the_reports_show_the_last_change)
{
    Reservation now{Urgent, 4};
    for (const std::size_t expected : {4U, 4U, 6U, 6U, 6U, 9U}) {
        now = decide({{Urgent, 100}, {Plain, 150}}, now);
        cr_assert(now.targets == expected);
    }
    now = {Urgent, 12};
    for (const std::size_t expected : {12U, 12U, 11U, 11U, 11U, 10U}) {
        now = decide({{Urgent, 36}, {Plain, 150}}, now);
        cr_assert(now.targets == expected, "%zu", now.targets);
    }
}

Test(reservation, shrinks_by_and_by)
{
    const Reservation large{Urgent, 16};
    const Reservation next = decide({{Urgent, 10}, {Plain, 150}}, large);
    cr_assert(next.targets < large.targets);
    cr_assert(next.targets > 8);
}

// Guards against swings: the work in flight follows the reservation, and the reports of it lag two
// intervals behind.
Test(reservation, converges_though_the_usage_lags)
{
    for (const double demand : {1.0, 3.0, 6.0, 7.0, 9.0, 11.0, 14.0, 18.0, 24.0}) {
        std::vector<Reservation> history(3);
        // All queues are full, and a part of the work is urgent.
        std::vector<double> urgent(3, demand / 80 * 200);
        for (std::size_t step = 0; step < 60; ++step) {
            const double reported = urgent[urgent.size() - 3];
            const double slots
                = SlotsPerTarget * static_cast<double>(Targets - history.back().targets);
            history.push_back(decide({{Urgent, reported}, {Plain, 5 * slots}}, history.back()));
            urgent.push_back(
                workOn(SlotsPerTarget * static_cast<double>(history.back().targets), demand));
        }
        const std::size_t end = history.back().targets;
        for (std::size_t step = 40; step < history.size(); ++step) {
            const std::size_t then = history[step].targets;
            cr_assert(std::max(then, end) - std::min(then, end) <= 1, "demand %g: %zu, then %zu",
                      demand, then, end);
        }
        const double reserved = SlotsPerTarget * static_cast<double>(end);
        cr_assert(reserved > demand, "demand %g: %g slots", demand, reserved);
        cr_assert(reserved <= 1.8 * demand + SlotsPerTarget, "demand %g: %g slots", demand,
                  reserved);
    }
}

// Guards against urgent requests that are refused though others could make room: their load has
// tripled, and its growth shows only as full queues.
Test(reservation, a_burst_of_urgent_load_finds_targets_within_a_second)
{
    constexpr double Demand = 24;
    Reservation now{Urgent, 6, 8};
    for (int report = 0; report < 4; ++report) {
        const double urgent = workOn(SlotsPerTarget * static_cast<double>(now.targets), Demand);
        const double others = 5 * SlotsPerTarget * static_cast<double>(Targets - now.targets);
        now = decide({{Urgent, urgent}, {Plain, others}}, now);
    }
    cr_assert(SlotsPerTarget * static_cast<double>(now.targets) > Demand);
}

// Guards against urgent requests that meet full queues on a reservation that is still too small
// while other targets have room.
Test(reservation, whatTheReservedTargetsCanNotCarryUsesAllTargets)
{
    const Reservation enough = decide({{Urgent, 20}, {Plain, 100}}, {Urgent, 10});
    cr_assert_float_eq(enough.share, 1, 1e-9);
    const Reservation small = decide({{Urgent, 120}, {Plain, 60}}, {Urgent, 2});
    cr_assert(small.share > 0 && small.share < 0.5, "%g", small.share);
    cr_assert(decide({{Urgent, 199}, {Plain, 1}}).share < 1);
}
