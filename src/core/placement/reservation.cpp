#include "core/placement/reservation.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace baobabtrail {

namespace {

/// Part of the targets into which the requests of one more priority have to fit before they are
/// counted as urgent too. Their work is too large while they meet full queues, so that a wider
/// limit would let the boundary jump.
constexpr double WidenWithin = 0.75;
/// Decisions after a change until the reports show its effect. Meanwhile refusals on full queues
/// are work in flight too, and readings are several times too large.
constexpr std::uint32_t ReportsLag = 3;
/// Growth at a time.
constexpr double GrowthFactor = 1.5;
/// Spare targets that are kept, and that part of the reserved ones in addition. A reservation that
/// followed each reading would swing: once it is a little too small, work in flight grows steeply.
constexpr double KeptTargets = 1.25;
constexpr double KeptPart = 0.3;
/// Part of the spare targets that is given back at a time.
constexpr double GivenBack = 0.25;
/// Where more than this part is spare, targets are given back at each decision.
constexpr double PlentySpare = 0.7;

/// \brief Number of targets that the urgent requests need, and the least urgent priority of these.
struct Need
{
    std::uint32_t priority = 0;
    double targets = 0;
};

/// \return The needs for each possible boundary, the most urgent priority alone first; without
/// that of all priorities together.
[[nodiscard]] std::vector<Need> needsOf(const DomainLoad &load, double perTarget)
{
    std::vector<Need> out;
    double work = 0;
    for (const auto &[priority, inFlight] : load.byPriority) {
        if (inFlight <= 0)
            continue;
        work += inFlight;
        out.push_back({priority, work / perTarget});
    }
    if (!out.empty())
        out.pop_back();
    return out;
}

/// \return The widest boundary whose requests fit; the most urgent priority alone where none does.
[[nodiscard]] Need chosen(const std::vector<Need> &needs, std::size_t most,
                          const Reservation &before)
{
    const auto limit = static_cast<double>(most);
    const auto fits = [&](const Need &need) {
        const bool widens = before.targets > 0 && need.priority > before.priority;
        return need.targets <= (widens ? WidenWithin * limit : limit);
    };
    const auto found = std::find_if(needs.rbegin(), needs.rend(), fits);
    return found == needs.rend() ? needs.front() : *found;
}

[[nodiscard]] std::size_t targetsFor(double need)
{
    return std::max<std::size_t>(static_cast<std::size_t>(std::ceil(need)), 1);
}

/// \return Share of the urgent flows that fit into the reserved targets. All of them there would
/// find full queues until the reservation has grown.
[[nodiscard]] double carriedShare(std::size_t reserved, double need) noexcept
{
    return need > 0 ? std::min(1.0, static_cast<double>(reserved) / need) : 1;
}

/// \return The number of targets that follows a reservation of the same priority.
[[nodiscard]] std::size_t countAfter(const Reservation &before, double need)
{
    const std::size_t wanted = targetsFor(need);
    const auto reserved = static_cast<double>(before.targets);
    const bool settled = before.unchangedFor + 1 >= ReportsLag;
    if (before.targets <= wanted)
        return settled ? std::min(wanted, targetsFor(GrowthFactor * reserved)) : before.targets;
    const double spare = reserved - need;
    const bool gives = settled || spare > PlentySpare * reserved;
    if (!gives || spare < KeptTargets + KeptPart * reserved)
        return before.targets;
    const auto back = static_cast<std::size_t>(std::max(1.0, std::floor(GivenBack * spare)));
    return std::max(wanted, before.targets - back);
}

/// \return Requests of the less urgent in flight per slot that isn't reserved.
[[nodiscard]] double othersPerSlot(const DomainLoad &load, std::size_t targets,
                                   const Reservation &before)
{
    if (before.targets >= targets)
        return 0;
    double work = 0;
    for (auto it = load.byPriority.upper_bound(before.priority); it != load.byPriority.end(); ++it)
        work += it->second;
    const auto all = static_cast<double>(targets);
    return work / (load.slots * (all - static_cast<double>(before.targets)) / all);
}

// Where most targets are reserved, few requests wait in the whole domain while the others still
// meet full queues: without the reservation they would fill all targets again.
[[nodiscard]] bool staysSaturated(const DomainLoad &load, std::size_t targets,
                                  const Reservation &before, const PlacementSettings &settings)
{
    if (load.slots <= 0)
        return false;
    return load.perSlot() > settings.relievedAt
           || othersPerSlot(load, targets, before) >= settings.saturatedAt;
}

} // namespace

Reservation reservationFor(const DomainLoad &load, std::size_t targets, const Reservation &before,
                           const PlacementSettings &settings)
{
    const bool isReserved = before.targets > 0;
    const double perSlot = load.perSlot();
    const bool saturated = isReserved ? staysSaturated(load, targets, before, settings)
                                      : perSlot >= settings.saturatedAt;
    if (!saturated || targets < 2)
        return {};
    const double slots = load.slots / static_cast<double>(targets);
    const double perTarget = slots * settings.reservedFill;
    const std::size_t most = targets - 1;
    if (isReserved) {
        const std::vector<Need> needs = needsOf(load, perTarget);
        if (needs.empty())
            return {};
        const Need need = chosen(needs, most, before);
        if (need.priority == before.priority) {
            const std::size_t count = std::min(countAfter(before, need.targets), most);
            const bool unchanged = count == before.targets;
            return {need.priority, count, unchanged ? before.unchangedFor + 1 : 0,
                    carriedShare(count, need.targets)};
        }
    }
    // At the beginning, and with another boundary, the urgent work still waits in full queues. Its
    // share of a load that just saturates tells more than its amount.
    const double excess = std::max(1.0, perSlot / settings.saturatedAt);
    const std::vector<Need> needs = needsOf(load, perTarget * excess);
    if (needs.empty())
        return {};
    const Need need = chosen(needs, most, before);
    const std::size_t count = std::min(targetsFor(need.targets), most);
    return {need.priority, count, 0, carriedShare(count, need.targets)};
}

} // namespace baobabtrail
