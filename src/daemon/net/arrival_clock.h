#pragma once

#include "core/time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace baobabtrail::daemon {

/// \brief Converts the kernel's arrival stamps of datagrams, which follow the wall clock, to the
/// core's time.
///
/// The wall clock may be stepped while datagrams wait. Each stamp is therefore read with the offset
/// between the clocks as it is now and as it was when the receive buffer was last empty, and must
/// lie in between: nothing that is read now arrived before.
class ArrivalClock
{
public:
    using WallTime = std::chrono::sys_time<std::chrono::nanoseconds>;

    /// \brief Both clocks at one moment, the core's read first: in a stall between the two
    /// readings, datagrams then count as older than they are.
    struct Reading
    {
        TimePoint now{};
        WallTime wall{};
    };

    explicit ArrivalClock(const Reading &start) noexcept
        : m_emptyAt(start.now)
        , m_now(start.now)
        , m_offsetWhenEmpty(offsetOf(start))
        , m_offset(m_offsetWhenEmpty)
    {
    }

    /// \brief Datagrams have been read, to which arrivedAt() applies from now on.
    void read(const Reading &reading) noexcept
    {
        m_now = reading.now;
        m_offset = offsetOf(reading);
    }

    /// \brief The last read has emptied the receive buffer.
    /// \param since Before that read.
    void emptied(TimePoint since) noexcept
    {
        m_emptyAt = since;
        m_offsetWhenEmpty = m_offset;
        m_stalledSince.reset();
    }

    /// \brief The process stalled: until the receive buffer is empty, datagrams without a stamp may
    /// have waited since then.
    /// \param hasUnread Whether it holds any now.
    void stalled(TimePoint since, bool hasUnread) noexcept
    {
        if (hasUnread)
            m_stalledSince = m_stalledSince.value_or(std::max(since, m_emptyAt));
    }

    /// \param stamp Of a datagram of the last read; nothing where the kernel gave none.
    /// \return When it arrived. Where that is unknown, the time of the read, or after a stall the
    /// time at which the stall began.
    [[nodiscard]] TimePoint arrivedAt(std::optional<WallTime> stamp) const noexcept
    {
        std::optional<TimePoint> arrived;
        for (const std::chrono::nanoseconds offset : std::array{m_offsetWhenEmpty, m_offset}) {
            if (!stamp)
                continue;
            const TimePoint at{std::chrono::floor<Duration>(stamp->time_since_epoch() - offset)};
            if (at < m_emptyAt - MaxDeviation || at > m_now + MaxDeviation)
                continue;
            // Where both are possible, the earlier one: to drop an opening that just came costs its
            // caller one copy, to place an old one may cost it the flow.
            arrived = std::min(arrived.value_or(at), at);
        }
        return arrived ? std::clamp(*arrived, m_emptyAt, m_now) : m_stalledSince.value_or(m_now);
    }

private:
    /// The two clocks aren't read at the same instant, and the wall clock is slewed.
    static constexpr Duration MaxDeviation = 10ms;

    [[nodiscard]] static std::chrono::nanoseconds offsetOf(const Reading &reading) noexcept
    {
        return reading.wall.time_since_epoch() - reading.now.time_since_epoch();
    }

    TimePoint m_emptyAt;
    TimePoint m_now;
    std::optional<TimePoint> m_stalledSince;
    std::chrono::nanoseconds m_offsetWhenEmpty;
    std::chrono::nanoseconds m_offset;
};

} // namespace baobabtrail::daemon
