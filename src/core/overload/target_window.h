#pragma once

#include "core/overload/overload_settings.h"

#include <cstdint>
#include <deque>

namespace baobabtrail {

/// \brief Concurrency window of one target: how many requests of this daemon it may have at once.
///
/// Load pattern: more requests than slots for longer than the target's queue can absorb. A target
/// serves its queue in FIFO order, so with a full queue every answer is late although the target is
/// never idle. The requests of all daemons lengthen the answer times that each of them measures, so
/// each daemon shrinks its own window until the queue is short, without any messages between them.
///
/// Below saturation there is no window: holding requests there would only add latency.
class TargetWindow
{
public:
    explicit TargetWindow(const OverloadSettings &settings) noexcept
        : m_settings(settings)
    {
    }

    /// \brief A request was sent to the target.
    void sent(TimePoint at);
    /// \brief The request that was sent at \a sentAt was answered, or its flow has ended.
    void ended(TimePoint sentAt);
    /// \brief The target answered a request; to be called before ended().
    /// \param took Time from the last byte of the request to the first byte seen of the answer.
    /// \param promised Latency that the request's route promises; 0 for none, and nothing changes.
    void answered(Duration took, Duration promised, TimePoint now) noexcept;

    /// \return Whether the target counts as saturated, so that the window applies.
    [[nodiscard]] bool limited() const noexcept { return m_limited; }
    /// \return Whether one more request may be sent to the target.
    [[nodiscard]] bool hasRoom(TimePoint now);
    /// \return The same for a request that is late already; to be called after hasRoom(). An idle
    /// target has room for any request: without answers its window could never grow again.
    [[nodiscard]] bool hasRoomForLate() const noexcept
    {
        return !m_limited || m_inFlight.empty() || used() + 1 <= m_window * m_settings.lateShare;
    }
    /// \return Requests that may be in flight at once; meaningless where limited() is false.
    [[nodiscard]] double size() const noexcept { return m_window; }
    /// \return Moving average of the time to an answer; 0 before the first one.
    [[nodiscard]] Duration meanAnswerTime() const noexcept
    {
        return Duration{static_cast<Duration::rep>(m_meanMicros)};
    }

private:
    [[nodiscard]] double used() const noexcept { return static_cast<double>(m_inFlight.size()); }
    [[nodiscard]] bool isRefusal(double micros, TimePoint now) noexcept;
    void eraseLost(TimePoint now);

    const OverloadSettings &m_settings;
    bool m_limited = false;
    double m_window = 0;
    double m_meanShare = 0;  ///< Moving average of answer time over promised latency.
    double m_meanMicros = 0; ///< Moving average of the answer time.
    TimePoint m_servedAt{};  ///< Last answer that was no immediate refusal.
    TimePoint m_lastSentAt{};
    std::deque<TimePoint> m_inFlight; ///< When each unanswered request was sent, in order.
};

} // namespace baobabtrail
