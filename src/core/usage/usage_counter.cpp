#include "core/usage/usage_counter.h"

namespace baobabtrail {

namespace {

[[nodiscard]] double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

UsageCounter::Part UsageCounter::partOf(ServiceId service, const std::string &targets,
                                        std::uint32_t priority)
{
    const UsageKey key{service, m_home, targets, priority};
    const auto [found, isNew] = m_parts.try_emplace(key, m_counts.size());
    if (isNew)
        m_counts.push_back({.key = key, .countedAt = m_now});
    return found->second;
}

void UsageCounter::integrate(Count &count) const noexcept
{
    const double seconds = secondsOf(m_now - count.countedAt);
    count.movableSeconds += seconds * count.movable;
    count.pinnedSeconds += seconds * count.pinned;
    count.countedAt = m_now;
}

void UsageCounter::began(Part part, bool movable)
{
    Count &count = m_counts.at(part);
    integrate(count);
    ++(movable ? count.movable : count.pinned);
}

void UsageCounter::ended(Part part, bool movable)
{
    Count &count = m_counts.at(part);
    integrate(count);
    std::uint32_t &left = movable ? count.movable : count.pinned;
    left -= left > 0 ? 1 : 0;
}

void UsageCounter::answered(Part part, Duration took)
{
    Count &count = m_counts.at(part);
    ++count.answers;
    count.answerTime += took;
}

UsageTable UsageCounter::take()
{
    UsageTable out;
    const double interval = secondsOf(m_now - m_since);
    m_since = m_now;
    for (Count &count : m_counts) {
        integrate(count);
        const bool idle = count.movableSeconds == 0 && count.pinnedSeconds == 0;
        if (interval > 0 && (!idle || count.answers > 0))
            out[count.key] = {.movable = count.movableSeconds / interval,
                              .pinned = count.pinnedSeconds / interval,
                              .answers = count.answers / interval,
                              .answerSeconds = secondsOf(count.answerTime) / interval};
        count.movableSeconds = 0;
        count.pinnedSeconds = 0;
        count.answers = 0;
        count.answerTime = Duration{0};
    }
    return out;
}

} // namespace baobabtrail
