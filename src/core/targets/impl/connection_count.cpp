#include "core/targets/impl/connection_count.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace baobabtrail::impl {

namespace {

constexpr double RecentSeconds = 60;
constexpr double CorrectionSeconds = 2;
constexpr double DoubtedSeconds = 30;
constexpr double FewFlows = 10;
constexpr double PlausibleShare = 0.25;

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

void ConnectionCount::reported(std::uint32_t connections, double usual, TimePoint now) noexcept
{
    decayRecent(now);
    // A target that always reports none would draw every open that names it as a candidate. Most
    // flows outlive a minute, so a target that denies most of the last minute's is not believed.
    m_believed = m_recent < FewFlows || connections >= PlausibleShare * m_recent;
    const double goal = m_believed ? connections : std::max(usual, m_recent);
    if (!m_reportAt) {
        m_count = goal;
    } else {
        const double pace = m_believed ? CorrectionSeconds : DoubtedSeconds;
        m_count += std::min(1.0, seconds(now - *m_reportAt) / pace) * (goal - m_count);
    }
    m_reportAt = now;
}

} // namespace baobabtrail::impl
