#include "core/placement/admission.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Bounds on one decrease: the excess that the queues show includes callers who try again, the more
/// of them the longer nothing was refused.
constexpr double MinFirstFactor = 0.35;
constexpr double MinLaterFactor = 0.5;
/// Decrease for each request per slot beyond queues that are filled as intended.
constexpr double DecreasePerRequest = 0.15;
/// Growth of the limit at each decision while queues are short.
constexpr double IncreaseFactor = 1.05;
/// Decrease while the targets' flows are near their limit.
constexpr double FlowDecreaseFactor = 0.8;
/// Least share of the openings that is admitted: without new flows nothing would show that the
/// targets have recovered.
constexpr double MinShare = 0.05;
/// Change of the requests in flight per slot between two decisions that shows queues in motion.
constexpr double Motion = 0.25;
/// Decisions after a decrease until usage shows its effect: its way up and down the tree of
/// daemons.
constexpr std::uint32_t SettlingDecisions = 3;
/// Rate that was admitted, relative to the limit, up to which usage counts as newer than a
/// decrease.
constexpr double MaxRateAboveLimit = 1.1;
[[nodiscard]] bool isNearFlowLimit(const DomainLoad &domain) noexcept
{
    return domain.flowLimit > 0 && domain.flows >= FlowLimitShare * domain.flowLimit;
}

/// \brief What the domains that take new flows have in common.
struct Room
{
    double slots = 0;
    double inFlight = 0;
    bool someFree = false;      ///< A domain has free slots.
    bool flowsNearLimit = true; ///< In every domain.

    [[nodiscard]] double perSlot() const noexcept { return inFlight / slots; }
};

[[nodiscard]] Room roomOf(const ServiceLoad &load, const PlacementSettings &settings)
{
    Room room;
    for (const DomainLoad &domain : load.domains) {
        if (domain.slots <= 0)
            continue;
        const bool limited = isNearFlowLimit(domain);
        room.slots += domain.slots;
        room.inFlight += domain.inFlight;
        room.someFree |= !limited && domain.perSlot() < settings.fullAt;
        room.flowsNearLimit &= limited;
    }
    return room;
}

/// \return Rate of new flows to aim at, relative to the rate that was admitted; 1 for no change.
[[nodiscard]] double changeFor(const Room &room, const AdmissionLevel &before, double admitted,
                               const PlacementSettings &settings)
{
    const bool isSameUsage = before.perSecond > 0 && room.perSlot() == before.perSlot;
    if (isSameUsage)
        return 1;
    if (room.flowsNearLimit)
        return FlowDecreaseFactor;
    // Queues take longer to drain or to fill than usage does to arrive. Without waiting for the
    // effect of the last change, the limit would overshoot both ways.
    const double motion = before.perSecond > 0 ? room.perSlot() - before.perSlot : 0;
    if (room.perSlot() < settings.queuesFullAt - settings.queuesFullBand)
        return motion <= Motion ? IncreaseFactor : 1;
    // Usage from before the last decrease shows a higher rate than that left.
    const bool isFarAbove = room.perSlot() > settings.queuesFullAt + settings.queuesFullBand;
    const bool settling
        = before.settling > 0 && !isFarAbove && admitted <= before.perSecond * MaxRateAboveLimit;
    if (room.perSlot() <= settings.queuesFullAt || motion < -Motion || settling)
        return 1;
    const double aim = settings.queuesFullAt - settings.queuesFullBand / 2;
    const double least = before.perSecond > 0 ? MinLaterFactor : MinFirstFactor;
    return std::max(least, 1 - DecreasePerRequest * (room.perSlot() - aim));
}

/// \return The level that lets through its limit of openings, the most urgent ones first.
[[nodiscard]] AdmissionLevel levelFor(const ServiceLoad &load, AdmissionLevel level)
{
    double left = level.perSecond;
    level.priority = RequestPolicy::LowestPriority;
    level.share = 1;
    for (const auto &[priority, openings] : load.openings) {
        if (openings.asked > left) {
            level.priority = priority;
            level.share = left / openings.asked;
            return level;
        }
        left -= openings.asked;
    }
    return level;
}

} // namespace

AdmissionLevel admissionFor(const ServiceLoad &load, const AdmissionLevel &before,
                            const PlacementSettings &settings)
{
    const Room room = roomOf(load, settings);
    if (room.slots <= 0 || room.someFree)
        return {};
    OpeningRate all;
    for (const auto &[priority, openings] : load.openings)
        all += openings;
    const double change = changeFor(room, before, all.admitted, settings);
    const bool limited = before.perSecond > 0;
    if (all.asked <= 0 || (!limited && change >= 1))
        return before;
    double limit = before.perSecond;
    if (change < 1)
        limit = limited ? std::min(limit, all.admitted * change) : all.admitted * change;
    else if (change > 1 && all.admitted * change > limit)
        limit *= change;
    // Flows near their limit are no ground to refuse the most urgent: their requests find room.
    if (room.flowsNearLimit && load.openings.size() > 1)
        limit = std::max(limit, load.openings.begin()->second.asked);
    AdmissionLevel level = before;
    level.perSecond = std::max(limit, MinShare * all.asked);
    // Queues that were still filling when they showed the begin of the load have to be seen once
    // more.
    if (change < 1 && limited)
        level.settling = SettlingDecisions;
    else if (room.perSlot() != before.perSlot && level.settling > 0)
        --level.settling;
    level.perSlot = room.perSlot();
    return levelFor(load, level);
}

} // namespace baobabtrail
