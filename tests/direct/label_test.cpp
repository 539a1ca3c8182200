#include "core/direct/label_table.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

// Guards against targets without a label, and against labels that lead to another target.
Test(labels, everyTargetHasALabelOfItsOwn)
{
    LabelTable table;
    constexpr std::uint64_t targets = 4400;
    for (std::uint64_t id = 1; id <= targets; ++id)
        table.add(TargetId{id * 0x9E3779B97F4A7C15ULL});
    std::uint64_t without = 0;
    for (std::uint64_t id = 1; id <= targets; ++id) {
        const TargetId target{id * 0x9E3779B97F4A7C15ULL};
        const auto label = table.labelOf(target);
        without += !label;
        cr_assert(!label || table.find(*label) == target);
        cr_assert(!label || !label->isNull());
    }
    cr_assert_eq(without, 0);
}

// Guards against a flow at the wrong target, which resets it. Two targets share a hash; the daemon
// that writes the label knows only one of them, and another daemon, which knows both, must not
// guess.
Test(labels, aLabelOfTwoTargetsIsNotResolved)
{
    // The first pair of ids whose first hashes collide, found by search.
    LabelTable table;
    std::unordered_map<FlowLabel, std::uint64_t> seen;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (std::uint64_t id = 1; second == 0; ++id) {
        LabelTable alone;
        alone.add(TargetId{id});
        const auto [known, isNew] = seen.emplace(*alone.labelOf(TargetId{id}), id);
        if (isNew)
            continue;
        first = known->second;
        second = id;
    }
    table.add(TargetId{first});
    const FlowLabel before = *table.labelOf(TargetId{first});
    table.add(TargetId{second});
    cr_assert(!table.find(before));
    cr_assert(table.labelOf(TargetId{first}) != before);
    cr_assert(table.find(*table.labelOf(TargetId{first})) == TargetId{first});
    cr_assert(table.find(*table.labelOf(TargetId{second})) == TargetId{second});
    table.remove(TargetId{second});
    cr_assert(table.find(before) == TargetId{first});
}
