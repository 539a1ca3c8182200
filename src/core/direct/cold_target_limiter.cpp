#include "core/direct/cold_target_limiter.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr Duration Span = 1s;
/// While a change of settings reaches the daemons, the former and the new set of owners are active
/// at the same time: each set has half of the rate.
constexpr double OverlappingOwnerSets = 2.0;

} // namespace

void ColdTargetLimiter::setOwners(std::size_t owners, bool isOwner, TimePoint now)
{
    m_owners = owners;
    // After a restart the process doesn't know what it opened within the last second: it opens
    // nothing for one second.
    if (isOwner && !m_isOwner)
        m_ownerSince = now;
    m_isOwner = isOwner;
}

bool ColdTargetLimiter::admits(TargetId target, const WarmUpLimit &limit, TimePoint now) const
{
    if (!m_isOwner || m_owners == 0 || now - m_ownerSince < Span)
        return false;
    const double part
        = limit.flowsPerSecond / (OverlappingOwnerSets * static_cast<double>(m_owners));
    const auto most = static_cast<std::size_t>(part);
    const auto found = m_placed.find(target);
    if (found == m_placed.end())
        return most > 0;
    const auto within = std::count_if(found->second.begin(), found->second.end(),
                                      [now](TimePoint at) { return now - at <= Span; });
    return static_cast<std::size_t>(within) < most;
}

void ColdTargetLimiter::placed(TargetId target, TimePoint now)
{
    m_placed[target].push_back(now);
}

void ColdTargetLimiter::expire(TimePoint now)
{
    for (auto it = m_placed.begin(); it != m_placed.end();) {
        std::erase_if(it->second, [now](TimePoint at) { return now - at > Span; });
        it = it->second.empty() ? m_placed.erase(it) : std::next(it);
    }
}

} // namespace baobabtrail
