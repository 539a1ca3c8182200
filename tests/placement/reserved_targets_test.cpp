#include "core/direct/direct_targets.h"
#include "support/direct_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace baobabtrail;
using baobabtrail::test::DirectFleet;

namespace {

constexpr std::uint32_t Urgent = 1;
constexpr std::uint32_t Plain = 2;
constexpr std::size_t Count = 12;
constexpr const char *Home = "alx-raml";
constexpr const char *Far = "alx-sidi";

/// \brief The targets of one daemon under a plan that reserves some at home and some far away.
struct Daemon
{
    DirectTargets targets{Home, {}};
    TimePoint now{1h};
    Random random{1};

    Daemon()
    {
        for (std::uint64_t id = 1; id <= Count; ++id)
            put(id);
    }
    void put(std::uint64_t id, bool draining = false)
    {
        RegisteredTarget entry = DirectFleet::target(id, id % 2 == 0 ? Home : Far);
        entry.draining = draining;
        targets.put(entry, now);
    }
    void plan(std::size_t home, std::size_t far, std::vector<DomainShare> shares = {})
    {
        ServicePlan plan;
        plan.shares = std::move(shares);
        for (const auto &[domain, count] : {std::pair{Home, home}, std::pair{Far, far}}) {
            if (count > 0)
                plan.reservations[domain] = {Urgent, count};
        }
        targets.setPlans({{DirectFleet::service(), plan}}, now);
    }
    [[nodiscard]] std::set<std::uint64_t> reserved(const std::string &domain) const
    {
        std::set<std::uint64_t> out;
        for (const auto &[id, target] : targets.all()) {
            if (target.reserved && target.entry.domain == domain)
                out.insert(id.value());
        }
        return out;
    }
    [[nodiscard]] DirectTarget &choose(std::uint32_t priority)
    {
        return *targets.choose({DirectFleet::service(), priority}, now, random);
    }
};

} // namespace

Test(reserved_targets, all_daemons_reserve_the_same_ones_and_more_include_fewer)
{
    Daemon one;
    Daemon other;
    one.plan(2, 1);
    other.plan(4, 1);
    const std::set<std::uint64_t> fewer = one.reserved(Home);
    const std::set<std::uint64_t> more = other.reserved(Home);
    cr_assert(fewer.size() == 2);
    cr_assert(more.size() == 4);
    cr_assert(std::includes(more.begin(), more.end(), fewer.begin(), fewer.end()));
    cr_assert(one.reserved(Far) == other.reserved(Far));
}

Test(reserved_targets, urgent_flows_use_them_and_no_others_do)
{
    Daemon daemon;
    daemon.plan(2, 2);
    for (int flow = 0; flow < 200; ++flow) {
        cr_assert(daemon.choose(Urgent).reserved);
        cr_assert(daemon.choose(0).reserved);
        cr_assert(!daemon.choose(Plain).reserved);
    }
}

Test(reserved_targets, urgent_flows_that_spill_use_those_of_the_far_domain)
{
    Daemon daemon;
    daemon.plan(2, 2, {{Far, 1.0}});
    for (int flow = 0; flow < 100; ++flow) {
        const DirectTarget &urgent = daemon.choose(Urgent);
        cr_assert(urgent.reserved && urgent.entry.domain == Far);
        const DirectTarget &plain = daemon.choose(Plain);
        cr_assert(!plain.reserved && plain.entry.domain == Far);
    }
}

Test(reserved_targets, one_that_takes_no_flows_is_replaced_by_the_next_plan)
{
    Daemon daemon;
    daemon.plan(3, 0);
    const std::uint64_t drained = *daemon.reserved(Home).begin();
    const std::uint64_t gone = *daemon.reserved(Home).rbegin();
    daemon.put(drained, true);
    daemon.targets.remove(TargetId{gone}, false, daemon.now);
    daemon.plan(3, 0);
    const std::set<std::uint64_t> after = daemon.reserved(Home);
    cr_assert(after.size() == 3);
    cr_assert(!after.contains(drained) && !after.contains(gone));

    DirectTarget &suspect = *daemon.targets.find(TargetId{*after.begin()});
    daemon.targets.unanswered(suspect, daemon.now);
    daemon.targets.unanswered(suspect, daemon.now);
    daemon.plan(3, 0);
    cr_assert(daemon.reserved(Home).size() == 3);
    cr_assert(!suspect.reserved);
}

// Guards against urgent flows that leave their domain, or are refused, since the targets reserved
// there are all down, while its other targets are up.
Test(reserved_targets, without_one_that_takes_flows_the_urgent_use_any_of_the_domain)
{
    Daemon daemon;
    daemon.plan(2, 2, {{Far, 1.0}});
    for (const std::uint64_t id : daemon.reserved(Far))
        daemon.put(id, true);
    for (int flow = 0; flow < 100; ++flow) {
        const DirectTarget &target = daemon.choose(Urgent);
        cr_assert(!target.reserved && target.entry.domain == Far);
    }
}

Test(reserved_targets, the_less_urgent_use_reserved_ones_where_no_other_takes_flows)
{
    Daemon daemon;
    daemon.plan(2, 2);
    const std::set<std::uint64_t> reserved = daemon.reserved(Home);
    for (std::uint64_t id = 2; id <= Count; id += 2) {
        if (!reserved.contains(id))
            daemon.put(id, true);
    }
    const DirectTarget &target = daemon.choose(Plain);
    cr_assert(target.reserved && target.entry.domain == Home);
}

Test(reserved_targets, without_a_plan_every_choice_is_the_one_made_before)
{
    Daemon planned;
    Daemon plain;
    planned.plan(2, 2);
    planned.targets.setPlans({}, planned.now);
    for (int flow = 0; flow < 200; ++flow) {
        const std::uint32_t priority = flow % 2 == 0 ? Urgent : Plain;
        DirectTarget &a = planned.choose(priority);
        DirectTarget &b = plain.choose(priority);
        cr_assert(a.entry.id == b.entry.id);
        ++a.inFlight;
        ++b.inFlight;
    }
}
