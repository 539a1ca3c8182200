#pragma once

#include "core/random.h"
#include "core/time.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace baobabtrail::bench {

/// \brief Discrete-event simulator: events run in order of time, those of the same time in the
/// order in which they were added.
class Simulator
{
public:
    explicit Simulator(std::uint64_t seed)
        : random(seed)
    {
    }

    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void after(Duration wait, std::function<void()> what)
    {
        m_events.push({m_now + wait, m_next++, std::move(what)});
    }

    void run(TimePoint until)
    {
        while (!m_events.empty() && m_events.top().at <= until) {
            // Moved out of the queue first, as the event may add others while it runs.
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.what();
        }
        m_now = until;
    }

    [[nodiscard]] double uniform(double low, double high)
    {
        return boost::random::uniform_real_distribution<double>{low, high}(random);
    }
    [[nodiscard]] std::size_t below(std::size_t count)
    {
        return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    }
    [[nodiscard]] double exponential(double mean)
    {
        return boost::random::exponential_distribution<double>{1.0 / mean}(random);
    }

    Random random;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> what;

        friend bool operator<(const Event &a, const Event &b) noexcept
        {
            return std::pair{a.at, a.order} > std::pair{b.at, b.order};
        }
    };

    TimePoint m_now{};
    std::uint64_t m_next = 0;
    std::priority_queue<Event> m_events;
};

[[nodiscard]] inline Duration fromSeconds(double seconds) noexcept
{
    return Duration{static_cast<Duration::rep>(seconds * 1e6)};
}

[[nodiscard]] inline double toMilliseconds(Duration duration) noexcept
{
    return static_cast<double>(duration.count()) / 1e3;
}

} // namespace baobabtrail::bench
