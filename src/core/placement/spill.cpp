#include "core/placement/spill.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// \return Movable work that fits into the domain when it is filled up to \a level, in requests in
/// flight per slot.
[[nodiscard]] double roomAt(double level, const DomainLoad &load) noexcept
{
    return load.slots > 0 ? std::max(0.0, level * load.slots - load.pinned) : 0;
}

/// \return The lowest level, in requests in flight per slot, at which all movable work fits, but
/// not less than \a fullAt.
[[nodiscard]] double levelFor(const std::vector<DomainLoad> &domains, double fullAt)
{
    double work = 0;
    std::vector<std::pair<double, const DomainLoad *>> byPinned;
    for (const DomainLoad &domain : domains) {
        work += domain.movable;
        if (domain.slots > 0)
            byPinned.emplace_back(domain.pinned / domain.slots, &domain);
    }
    std::sort(byPinned.begin(), byPinned.end());
    double level = fullAt;
    double slots = 0;
    for (const auto &[pinned, domain] : byPinned) {
        // Domains with more pinned work than that have no room at this level.
        if (slots > 0 && level <= pinned)
            break;
        work += domain->pinned;
        slots += domain->slots;
        level = work / slots;
    }
    return std::max(level, fullAt);
}

/// \return Shares of a domain without slots while no other one has room either.
[[nodiscard]] std::vector<DomainShare> sharesBySlots(const ServiceLoad &load)
{
    double slots = 0;
    for (const DomainLoad &domain : load.domains)
        slots += domain.slots;
    std::vector<DomainShare> shares;
    for (const DomainLoad &domain : load.domains) {
        if (domain.slots > 0)
            shares.push_back({domain.domain, domain.slots / slots});
    }
    return shares;
}

/// \return Share of the excess of domains with slots that fits into the room left in others. The
/// excess of domains without slots comes first: it can't be served at home.
[[nodiscard]] double carriedShare(double room, double excess, double excessWithoutSlots) noexcept
{
    const double left = std::max(0.0, room - excessWithoutSlots);
    return excess > left ? left / excess : 1;
}

} // namespace

std::vector<DomainShare> spillShares(const std::string &home, const ServiceLoad &load,
                                     const PlacementSettings &settings)
{
    // Beyond the bound callers of the other domains would be refused instead.
    const double level = std::min(levelFor(load.domains, settings.fullAt), settings.spillUpTo);
    std::vector<DomainShare> left; // Room that a domain's own callers leave.
    double allLeft = 0;
    double allExcess = 0;
    double excessWithoutSlots = 0;
    double ownExcess = 0;
    const DomainLoad *own = nullptr;
    for (const DomainLoad &domain : load.domains) {
        const double over = domain.movable - roomAt(level, domain);
        const double excess = std::max(over, 0.0);
        (domain.slots > 0 ? allExcess : excessWithoutSlots) += excess;
        if (domain.domain == home) {
            own = &domain;
            ownExcess = excess;
        } else if (over < 0) {
            left.push_back({domain.domain, -over});
            allLeft -= over;
        }
    }
    if (ownExcess > 0 && own->slots <= 0 && allLeft <= 0)
        return sharesBySlots(load);
    if (ownExcess <= 0 || allLeft <= 0)
        return {};
    const double carried
        = own->slots > 0 ? carriedShare(allLeft, allExcess, excessWithoutSlots) : 1;
    const double away = ownExcess / own->movable * carried;
    if (away <= 0)
        return {};
    std::vector<DomainShare> shares;
    if (away < 1)
        shares.push_back({home, 1 - away});
    for (const DomainShare &each : left)
        shares.push_back({each.domain, away * each.share / allLeft});
    return shares;
}

} // namespace baobabtrail
