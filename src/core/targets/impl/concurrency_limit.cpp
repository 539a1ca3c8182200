#include "core/targets/impl/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace baobabtrail::impl {

namespace {

constexpr double ShedFactor = 0.8;
constexpr double CeilingOverSlots = 1.25;
constexpr double RaiseStep = 0.1;
constexpr double SuccessesPerSlot = 8;
constexpr double RecentGain = 0.1;
constexpr double BaselineGain = 0.005;
constexpr double ToleratedGrowth = 1.3;
constexpr double RoundingTolerance = 1e-6;
constexpr Duration ShedBurst = 10ms;

} // namespace

void ConcurrencyLimit::setSlots(std::uint32_t slots) noexcept
{
    const double wanted = std::max<double>(slots, 1);
    m_limit = std::max(1.0, m_limit * wanted / m_slots);
    m_slots = wanted;
}

void ConcurrencyLimit::succeeded(std::uint32_t running, Duration runTime) noexcept
{
    const auto sample = static_cast<double>(runTime.count());
    m_recent += (m_recent == 0 ? 1 : RecentGain) * (sample - m_recent);
    m_baseline += (m_baseline == 0 ? 1 : BaselineGain) * (sample - m_baseline);
    if (running < maxAttempts())
        return;
    // Raising the limit while answers slow down would only move the queue from the owner into the
    // target, where requests can be neither reordered nor refused.
    if (m_recent > ToleratedGrowth * m_baseline)
        return;
    m_fullUseSuccesses += 1;
    if (m_fullUseSuccesses < SuccessesPerSlot * m_limit)
        return;
    m_fullUseSuccesses = 0;
    m_limit = std::min(m_limit + RaiseStep * m_slots, CeilingOverSlots * m_slots);
}

void ConcurrencyLimit::shed(TimePoint now) noexcept
{
    m_fullUseSuccesses = 0;
    // One overload sheds several attempts at once. Counted one by one, a single burst would lower
    // the limit to one.
    if (m_lastShed != TimePoint::min() && now - m_lastShed < ShedBurst)
        return;
    m_lastShed = now;
    m_limit = std::max(1.0, m_limit * ShedFactor);
}

std::uint32_t ConcurrencyLimit::maxAttempts(double share) const noexcept
{
    return static_cast<std::uint32_t>(
        std::max(1.0, std::floor(m_limit * share + RoundingTolerance)));
}

Duration ConcurrencyLimit::serviceTime() const noexcept
{
    return Duration{static_cast<Duration::rep>(m_baseline)};
}

} // namespace baobabtrail::impl
