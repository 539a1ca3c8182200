#include "core/placement/admission.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Bound on one decrease: the excess that the queues show includes callers who try again.
constexpr double MaxDecrease = 0.5;
/// Decrease for each request per slot beyond queues that are filled as intended.
constexpr double DecreasePerRequest = 0.15;
/// Increase of the limit at each decision while queues are short.
constexpr double Increase = 1.08;
/// Decrease while the targets' flows are near their limit.
constexpr double DecreaseByFlows = 0.8;
/// Least share of the openings that is admitted: without new flows nothing would show that the
/// targets have recovered.
constexpr double MinShare = 0.05;
/// Share of a target's limit of flows at which its domain counts as full. \see DomainLoad::flows
constexpr double FlowsNearLimit = 0.9;

[[nodiscard]] bool isNearFlowLimit(const DomainLoad &domain) noexcept
{
    return domain.flowLimit > 0 && domain.flows >= FlowsNearLimit * domain.flowLimit;
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
[[nodiscard]] double changeFor(const Room &room, const PlacementSettings &settings)
{
    if (room.flowsNearLimit)
        return DecreaseByFlows;
    if (room.perSlot() < settings.queuesFullAt - settings.queuesFullBand)
        return Increase;
    if (room.perSlot() <= settings.queuesFullAt)
        return 1;
    const double aim = settings.queuesFullAt - settings.queuesFullBand / 2;
    return std::max(MaxDecrease, 1 - DecreasePerRequest * (room.perSlot() - aim));
}

/// \return The level that lets through \a limit openings per second, the most urgent ones first.
[[nodiscard]] AdmissionLevel levelFor(const ServiceLoad &load, double limit)
{
    double left = limit;
    for (const auto &[priority, openings] : load.openings) {
        if (openings.asked > left)
            return {.priority = priority, .share = left / openings.asked, .perSecond = limit};
        left -= openings.asked;
    }
    return {.perSecond = limit};
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
    const double change = changeFor(room, settings);
    const bool limited = before.perSecond > 0;
    if (all.asked <= 0 || (!limited && change >= 1))
        return before;
    double limit = before.perSecond;
    if (change < 1)
        limit = limited ? std::min(limit, all.admitted * change) : all.admitted * change;
    else if (change > 1)
        limit = std::max(limit, all.admitted * change);
    // Flows near their limit are no ground to refuse the most urgent: their requests find room.
    if (room.flowsNearLimit && load.openings.size() > 1)
        limit = std::max(limit, load.openings.begin()->second.asked);
    return levelFor(load, std::max(limit, MinShare * all.asked));
}

} // namespace baobabtrail
