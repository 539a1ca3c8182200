#include "core/placement/spill.h"

#include <algorithm>
#include <numeric>
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

} // namespace

std::vector<DomainShare> spillShares(const std::string &home, const ServiceLoad &load,
                                     const PlacementSettings &settings)
{
    const double level = levelFor(load.domains, settings.fullAt);
    std::vector<DomainShare> left; // Room that a domain's own callers leave.
    double excess = 0;
    double ownMovable = 0;
    for (const DomainLoad &domain : load.domains) {
        const double room = roomAt(level, domain);
        if (domain.domain == home) {
            ownMovable = domain.movable;
            excess = std::max(0.0, domain.movable - room);
        } else if (room > domain.movable) {
            left.push_back({domain.domain, room - domain.movable});
        }
    }
    const double allLeft
        = std::accumulate(left.begin(), left.end(), 0.0,
                          [](double sum, const DomainShare &each) { return sum + each.share; });
    if (excess <= 0 || allLeft <= 0)
        return {};
    std::vector<DomainShare> shares;
    const double away = excess / ownMovable;
    if (away < 1)
        shares.push_back({home, 1 - away});
    for (const DomainShare &each : left)
        shares.push_back({each.domain, away * each.share / allLeft});
    return shares;
}

} // namespace baobabtrail
