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
    count.flowSeconds += seconds * count.flows;
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

void UsageCounter::asked(ServiceId service, std::uint32_t priority, bool admitted)
{
    Count &count = m_counts.at(partOf(service, m_home, priority));
    ++count.asked;
    count.admitted += admitted ? 1 : 0;
}

void UsageCounter::flowOpened(Part part)
{
    Count &count = m_counts.at(part);
    integrate(count);
    ++count.flows;
}

void UsageCounter::flowEnded(Part part)
{
    Count &count = m_counts.at(part);
    integrate(count);
    count.flows -= count.flows > 0 ? 1 : 0;
}

UsageTable UsageCounter::take()
{
    UsageTable out;
    const double interval = secondsOf(m_now - m_since);
    m_since = m_now;
    for (Count &count : m_counts) {
        integrate(count);
        // Open flows alone are no work: they would make reports of idle services.
        const bool idle = count.movableSeconds == 0 && count.pinnedSeconds == 0 && count.asked == 0;
        if (interval > 0 && (!idle || count.answers > 0))
            out[count.key] = {.movable = count.movableSeconds / interval,
                              .pinned = count.pinnedSeconds / interval,
                              .answers = count.answers / interval,
                              .answerSeconds = secondsOf(count.answerTime) / interval,
                              .asked = count.asked / interval,
                              .admitted = count.admitted / interval,
                              .flows = count.flowSeconds / interval};
        count.movableSeconds = 0;
        count.pinnedSeconds = 0;
        count.answers = 0;
        count.answerTime = Duration{0};
        count.asked = 0;
        count.admitted = 0;
        count.flowSeconds = 0;
    }
    return out;
}

} // namespace baobabtrail
