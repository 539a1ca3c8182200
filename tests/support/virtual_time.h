#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace baobabtrail::test {

/// \brief A simulated clock that runs events in the order of their times without waiting. Events of
/// the same time run in the order in which they were added.
class VirtualTime
{
public:
    explicit VirtualTime(TimePoint start = TimePoint{1h}) noexcept
        : m_now(start)
    {
    }

    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({std::max(time, m_now), ++m_order, std::move(run)});
    }
    void after(Duration wait, std::function<void()> run) { at(m_now + wait, std::move(run)); }

    void run(Duration time) { runUntil(m_now + time); }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end)
            step();
        m_now = end;
    }

    /// \return Whether \a condition became true within \a limit.
    template <typename Condition>
    bool runUntil(Condition condition, Duration limit)
    {
        const TimePoint end = m_now + limit;
        while (!condition()) {
            if (m_events.empty() || m_events.top().time > end) {
                m_now = end;
                return condition();
            }
            step();
        }
        return true;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> run;

        friend bool operator<(const Event &a, const Event &b) noexcept
        {
            return std::pair{a.time, a.order} > std::pair{b.time, b.order};
        }
    };

    void step()
    {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }

    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

} // namespace baobabtrail::test

namespace baobabtrail::fake {

using test::VirtualTime;

} // namespace baobabtrail::fake
