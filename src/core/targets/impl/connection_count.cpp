#include "core/targets/impl/connection_count.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace baobabtrail::impl {

namespace {

constexpr double RecentSeconds = 60;
constexpr double CorrectionSeconds = 2;
constexpr double MinFlowsToCompare = 50;
constexpr double MinShareOfRecent = 0.02;
constexpr double MaxOverAverage = 3;

[[nodiscard]] double seconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ConnectionCount::decayRecent(TimePoint now) noexcept
{
    m_recent *= std::exp(-seconds(now - m_recentAt) / RecentSeconds);
    m_recentAt = now;
}

void ConnectionCount::accepted(TimePoint now) noexcept
{
    decayRecent(now);
    m_recent += 1;
    m_count += 1;
}

void ConnectionCount::reported(std::uint32_t connections, double average, TimePoint now) noexcept
{
    decayRecent(now);
    // A target that always reports no flows would attract every open that has it as a candidate,
    // and one that always reports many would never get any. A report outside these bounds is
    // ignored, and the target counts as an average one, so that it gets an even share.
    const bool tooFew = m_recent >= MinFlowsToCompare && connections < MinShareOfRecent * m_recent;
    const bool tooMany = average >= MinFlowsToCompare && connections > MaxOverAverage * average;
    m_plausible = !tooFew && !tooMany;
    const double goal = m_plausible ? connections : average;
    if (!m_reportAt || !m_plausible)
        m_count = goal;
    else
        m_count += std::min(1.0, seconds(now - *m_reportAt) / CorrectionSeconds) * (goal - m_count);
    m_reportAt = now;
}

} // namespace baobabtrail::impl
