#pragma once

#include "core/direct/segment.h"
#include "core/time.h"

#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace baobabtrail {

/// \brief A bounded queue of segments that arrived before the directory was complete.
///
/// After a fault that stopped all daemons, packets reach the first ones that restart before these
/// have read the directory. A dropped segment would be retransmitted only after 200 to 600 ms.
class WaitingSegments
{
public:
    struct Waiting
    {
        Segment segment;
        std::string payload;
        TimePoint since{};
    };

    /// \brief Appends a segment; drops the oldest one where the queue is full.
    /// \param payload Returned with the segment by take().
    /// \return Whether there was space without dropping a segment.
    bool push(const Segment &segment, std::string_view payload, TimePoint now)
    {
        const bool space = m_waiting.size() < Capacity;
        if (!space)
            m_waiting.pop_front();
        m_waiting.push_back({segment, std::string{payload}, now});
        return space;
    }

    /// \brief Empties the queue and returns the segments whose callers still wait, oldest first.
    [[nodiscard]] std::deque<Waiting> take(TimePoint now)
    {
        std::deque<Waiting> out = std::exchange(m_waiting, {});
        while (!out.empty() && now - out.front().since > MaxWait)
            out.pop_front();
        return out;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    /// 1.2 MB of memory at most, as a segment has up to 1.2 KB.
    static constexpr std::size_t Capacity = 1024;
    /// Callers that open a flow time out after this.
    static constexpr Duration MaxWait = 1400ms;

    std::deque<Waiting> m_waiting;
};

} // namespace baobabtrail
