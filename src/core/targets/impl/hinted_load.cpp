#include "core/targets/impl/hinted_load.h"

#include <algorithm>
#include <cmath>

namespace baobabtrail::impl {

namespace {

constexpr Duration FlowsDecayTime = 30s;
constexpr Duration UnavailableFor = 2s;
constexpr std::uint32_t SilentAfterHandoffs = 3;
constexpr Duration SilentAfter = 100ms;
constexpr Duration FirstSilentRetry = 1s;
constexpr std::uint32_t MaxDoublings = 3;

[[nodiscard]] double decayFactor(Duration age, Duration decayTime) noexcept
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(decayTime.count()));
}

} // namespace

void HintedLoad::applyHint(const LoadHint &hint, TimePoint now) noexcept
{
    m_last = hint;
    m_hintedAt = now;
    m_requestsSent = 0;
    m_flowsSent = 0;
}

double HintedLoad::requests(double average, Duration decayTime, TimePoint now) const noexcept
{
    if (!known() || m_last.requests >= UnavailableLoad)
        return average;
    return average
           + (m_last.requests + m_requestsSent - average)
                 * decayFactor(now - m_hintedAt, decayTime);
}

double HintedLoad::flows(double average, TimePoint now) const noexcept
{
    if (!known() || m_last.flows >= UnavailableLoad)
        return average + m_flowsSent;
    return average
           + (m_last.flows + m_flowsSent - average) * decayFactor(now - m_hintedAt, FlowsDecayTime);
}

bool HintedLoad::unavailable(TimePoint now) const noexcept
{
    return known() && m_last.requests >= UnavailableLoad && now - m_hintedAt < UnavailableFor;
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
    if (m_unanswered < SilentAfterHandoffs || now - m_since < SilentAfter)
        return false;
    const std::uint32_t doublings = std::min(m_unanswered - SilentAfterHandoffs, MaxDoublings);
    return now - m_last < FirstSilentRetry * (1U << doublings);
}

} // namespace baobabtrail::impl
