#include "core/targets/impl/heard_load.h"

#include <algorithm>
#include <cmath>

namespace baobabtrail::impl {

namespace {

constexpr Duration FlowsFade = 30s;
constexpr Duration UnavailableFor = 2s;
constexpr std::uint32_t SilentAfterAsks = 3;
constexpr Duration SilentAfter = 100ms;
constexpr Duration FirstSilentRetry = 1s;
constexpr std::uint32_t MostDoublings = 3;

[[nodiscard]] double fading(Duration age, Duration fade) noexcept
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(fade.count()));
}

} // namespace

void HeardLoad::applyHint(const LoadHint &hint, TimePoint now) noexcept
{
    m_last = hint;
    m_heardAt = now;
    m_requestsSent = 0;
    m_flowsSent = 0;
}

double HeardLoad::requests(double usual, Duration fade, TimePoint now) const noexcept
{
    if (!heard() || m_last.requests >= UnavailableLoad)
        return usual;
    return usual + (m_last.requests + m_requestsSent - usual) * fading(now - m_heardAt, fade);
}

double HeardLoad::flows(double usual, TimePoint now) const noexcept
{
    if (!heard() || m_last.flows >= UnavailableLoad)
        return usual + m_flowsSent;
    return usual + (m_last.flows + m_flowsSent - usual) * fading(now - m_heardAt, FlowsFade);
}

bool HeardLoad::unavailable(TimePoint now) const noexcept
{
    return heard() && m_last.requests >= UnavailableLoad && now - m_heardAt < UnavailableFor;
}

void OwnerContact::asked(TimePoint now) noexcept
{
    if (m_unanswered == 0)
        m_since = now;
    ++m_unanswered;
    m_last = now;
}

bool OwnerContact::silent(TimePoint now) const noexcept
{
    if (m_unanswered < SilentAfterAsks || now - m_since < SilentAfter)
        return false;
    const std::uint32_t doublings = std::min(m_unanswered - SilentAfterAsks, MostDoublings);
    return now - m_last < FirstSilentRetry * (1U << doublings);
}

} // namespace baobabtrail::impl
