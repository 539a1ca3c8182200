#pragma once

#include "core/direct/segment.h"
#include "core/time.h"

#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace baobabtrail {

/// \brief Segments that came before the directory, the oldest first.
///
/// After a fault that took all daemons, packets reach the first ones before these have read the
/// directory. Dropped, each would come again only after 200 to 600 ms.
class WaitingSegments
{
public:
    struct Waiting
    {
        Segment segment;
        std::string payload;
        TimePoint since{};
    };

    /// \param payload Handed back with the segment.
    /// \return Whether there was space without dropping an older segment.
    bool push(const Segment &segment, std::string_view payload, TimePoint now)
    {
        const bool space = m_waiting.size() < Capacity;
        if (!space)
            m_waiting.pop_front();
        m_waiting.push_back({segment, std::string{payload}, now});
        return space;
    }

    /// \return All that waits and whose callers still wait too; nothing waits any more then.
    [[nodiscard]] std::deque<Waiting> take(TimePoint now)
    {
        std::deque<Waiting> out = std::exchange(m_waiting, {});
        while (!out.empty() && now - out.front().since > MaxWait)
            out.pop_front();
        return out;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    /// Segments of at most 1.2 KB each: 1.2 MB.
    static constexpr std::size_t Capacity = 1024;
    /// Callers that open a flow give up after this.
    static constexpr Duration MaxWait = 1400ms;

    std::deque<Waiting> m_waiting;
};

} // namespace baobabtrail
