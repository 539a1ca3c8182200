#include "core/placement/spill.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <random>

using namespace baobabtrail;

namespace {

/// Slots, movable and pinned work of each domain, from "d0" on.
struct Counts
{
    double slots = 0;
    double movable = 0;
    double pinned = 0;
};

[[nodiscard]] ServiceLoad loadOf(const std::vector<Counts> &counts)
{
    ServiceLoad load;
    for (const Counts &each : counts) {
        DomainLoad domain;
        domain.domain = "d" + std::to_string(load.domains.size());
        domain.slots = each.slots;
        domain.movable = each.movable;
        domain.pinned = each.pinned;
        load.domains.push_back(domain);
    }
    return load;
}

using Shares = std::map<std::string, double>;

[[nodiscard]] Shares sharesOf(const std::string &home, const std::vector<Counts> &counts)
{
    Shares out;
    for (const DomainShare &share : spillShares(home, loadOf(counts), {}))
        out[share.domain] = share.share;
    return out;
}

void expectShares(const Shares &found, const Shares &expected)
{
    cr_assert_eq(found.size(), expected.size(), "%zu shares", found.size());
    for (const auto &[domain, share] : expected) {
        cr_assert(found.contains(domain), "%s", domain.c_str());
        cr_assert_float_eq(found.at(domain), share, 1e-9, "%s: %.4f", domain.c_str(),
                           found.at(domain));
    }
}

} // namespace

Test(spill, aDomainWithRoomKeepsItsCallers)
{
    expectShares(sharesOf("d0", {{20, 6, 0}, {20, 4, 1}, {20, 0, 0}}), {});
    expectShares(sharesOf("d0", {{20, 20, 0}, {20, 4, 0}}), {});
    // Its neighbour is full; it isn't.
    expectShares(sharesOf("d1", {{20, 40, 0}, {20, 4, 0}}), {});
}

Test(spill, excessGoesWhereRoomIsInProportionToIt)
{
    expectShares(sharesOf("d0", {{20, 30, 0}, {20, 6, 0}, {20, 12, 0}}),
                 {{"d0", 20.0 / 30}, {"d1", 10.0 / 30 * 14 / 22}, {"d2", 10.0 / 30 * 8 / 22}});
}

// Requests on open flows can't move: they take room both at home and elsewhere.
Test(spill, pinnedWorkTakesRoom)
{
    expectShares(sharesOf("d0", {{20, 10, 15}, {20, 0, 20}, {20, 0, 10}}),
                 {{"d0", 0.5}, {"d2", 0.5}});
}

// Where all domains together are full, they fill up alike until they are saturated.
Test(spill, fullDomainsAreFilledToTheSameLevel)
{
    expectShares(sharesOf("d0", {{20, 40, 0}, {20, 20, 0}, {20, 18, 0}}),
                 {{"d0", 26.0 / 40}, {"d1", 6.0 / 40}, {"d2", 8.0 / 40}});
    // The second one is above the common level by its pinned work alone.
    expectShares(sharesOf("d0", {{20, 40, 0}, {20, 0, 80}, {20, 10, 0}}),
                 {{"d0", 25.0 / 40}, {"d2", 15.0 / 40}});
}

// Guards against refusals in a domain whose own callers ask for what it can carry.
Test(spill, theExcessOfOthersSaturatesNoDomain)
{
    expectShares(sharesOf("d0", {{20, 180, 0}, {20, 60, 0}, {20, 60, 0}}), {});
    expectShares(sharesOf("d0", {{20, 180, 0}, {20, 0, 80}, {20, 40, 0}}),
                 {{"d0", 160.0 / 180}, {"d2", 20.0 / 180}});
    // Two domains share the room that the third one has left.
    expectShares(sharesOf("d0", {{20, 180, 0}, {20, 120, 0}, {20, 42, 0}}),
                 {{"d0", 168.0 / 180}, {"d2", 12.0 / 180}});
}

// Otherwise callers of a domain with room would be sent away by its neighbour's excess, and the
// longer way would be taken twice.
Test(spill, callersOfTheOtherDomainComeFirstThere)
{
    const std::vector<Counts> counts{{20, 30, 0}, {20, 18, 0}, {20, 18, 0}};
    expectShares(sharesOf("d1", counts), {});
    expectShares(sharesOf("d2", counts), {});
}

// An evacuated, cut or silent domain counts no slot.
Test(spill, aDomainWithoutSlotsGetsNothing)
{
    expectShares(sharesOf("d0", {{20, 30, 0}, {0, 0, 0}, {20, 0, 0}}),
                 {{"d0", 20.0 / 30}, {"d2", 10.0 / 30}});
    expectShares(sharesOf("d0", {{0, 30, 5}, {20, 0, 0}, {40, 0, 0}}),
                 {{"d1", 10.0 / 30}, {"d2", 20.0 / 30}});
    expectShares(sharesOf("d0", {{0, 30, 0}, {0, 0, 0}}), {});
}

Test(spill, callersOfADomainWithoutLoadOrTargets)
{
    expectShares(sharesOf("elsewhere", {{20, 30, 0}, {20, 0, 0}}), {});
    expectShares(sharesOf("d0", {{20, 0, 0}, {20, 30, 0}}), {});
    expectShares(sharesOf("d0", {}), {});
}

// All daemons decide for themselves. Together they must send nowhere more than fits.
Test(spill, allPlansTogetherFillNoDomainAboveTheCommonLevel)
{
    std::mt19937 random{1};
    boost::random::uniform_real_distribution<double> draw{0, 60};
    for (int round = 0; round < 1000; ++round) {
        std::vector<Counts> counts(4);
        for (Counts &each : counts) {
            each = {round % 7 == 0 && &each == &counts[2] ? 0.0 : 1 + draw(random),
                    draw(random) * (round % 2 == 0 ? 1 : 4), draw(random) / 3};
        }
        std::vector<double> placed(counts.size());
        std::vector<double> foreign(counts.size());
        for (std::size_t home = 0; home < counts.size(); ++home) {
            const Shares shares = sharesOf("d" + std::to_string(home), counts);
            double sum = 0;
            for (std::size_t to = 0; to < counts.size(); ++to) {
                const auto found = shares.find("d" + std::to_string(to));
                const double unplanned = shares.empty() && to == home ? 1 : 0;
                const double share = found == shares.end() ? unplanned : found->second;
                cr_assert_geq(share, 0);
                sum += share;
                placed[to] += share * counts[home].movable;
                foreign[to] += to == home ? 0 : share * counts[home].movable;
            }
            cr_assert_float_eq(sum, 1, 1e-9, "round %d", round);
        }
        double level = 0;
        for (std::size_t to = 0; to < counts.size(); ++to) {
            if (counts[to].slots == 0)
                cr_assert_float_eq(placed[to], 0, 1e-9, "round %d", round);
            else if (placed[to] > 1e-9)
                level = std::max(level, (placed[to] + counts[to].pinned) / counts[to].slots);
        }
        // Each domain that takes no more is at that level, or at the bound for what others can't
        // carry, unless none is above a full one.
        const double bound = PlacementSettings{}.spillUpTo;
        for (const Counts &each : counts) {
            if (each.slots == 0)
                continue;
            const std::size_t index = static_cast<std::size_t>(&each - counts.data());
            const double filled = (placed[index] + each.pinned) / each.slots;
            // Callers of a domain without slots can only go elsewhere.
            const bool allHaveSlots = round % 7 != 0;
            if (allHaveSlots && foreign[index] > 1e-9)
                cr_assert_leq(filled, bound + 1e-6, "round %d", round);
            if (level > 1 + 1e-9)
                cr_assert_geq(filled, std::min(level, bound) - 1e-6, "round %d", round);
        }
    }
}
