#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace baobabtrail::fake {

/// \brief A clock that moves from one scheduled call to the next.
class VirtualTime
{
public:
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }

    void at(TimePoint when, std::function<void()> call)
    {
        m_calls.push({std::max(when, m_now), m_next++, std::move(call)});
    }
    void after(Duration wait, std::function<void()> call) { at(m_now + wait, std::move(call)); }

    void runUntil(TimePoint end)
    {
        while (!m_calls.empty() && m_calls.top().when <= end) {
            const Call next = m_calls.top();
            m_calls.pop();
            m_now = next.when;
            next.call();
        }
        m_now = end;
    }

private:
    struct Call
    {
        TimePoint when;
        std::uint64_t order = 0;
        std::function<void()> call;

        friend bool operator<(const Call &a, const Call &b) noexcept
        {
            return std::tie(b.when, b.order) < std::tie(a.when, a.order);
        }
    };

    TimePoint m_now{Duration{1h}};
    std::uint64_t m_next = 0;
    std::priority_queue<Call> m_calls;
};

} // namespace baobabtrail::fake
