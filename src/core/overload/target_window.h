#pragma once

#include "core/overload/overload_settings.h"

#include <cstdint>
#include <deque>

namespace baobabtrail {

/// \brief How many requests of this daemon one target may have at once.
///
/// Load pattern: more requests than slots, for longer than the target's queue absorbs. A target
/// works off what came first, so that with a full queue every answer is late though it is never
/// idle. Every daemon sees the time of its own answers, which the requests of all others stretch
/// too; each shrinks its window until the queue is short, without a word between them.
///
/// Below saturation there is no window: holding costs latency there and gains nothing.
class TargetWindow
{
public:
    explicit TargetWindow(const OverloadSettings &settings) noexcept
        : m_settings(settings)
    {
    }

    /// \brief A request went to the target.
    void sent(TimePoint at);
    /// \brief A request that went there at \a sentAt was answered, or its flow has ended.
    void ended(TimePoint sentAt);
    /// \brief The target answered a request; to be called before ended().
    /// \param took From the last byte of the request to the first of the answer that was seen.
    /// \param promised Latency that the request's route promises; 0 for none, and no conclusion.
    void answered(Duration took, Duration promised, TimePoint now) noexcept;

    /// \return Whether the target counts as saturated.
    [[nodiscard]] bool limited() const noexcept { return m_limited; }
    /// \return Whether one more request may go to the target.
    [[nodiscard]] bool hasRoom(TimePoint now);
    /// \return The same for one that is late already; to be asked after hasRoom(). An idle target
    /// has room for any: without its answers nothing would be learnt of it any more.
    [[nodiscard]] bool hasRoomForLate() const noexcept
    {
        return !m_limited || m_inFlight.empty() || used() + 1 <= m_window * m_settings.lateShare;
    }
    /// \return Requests at once; meaningless where limited() is false.
    [[nodiscard]] double size() const noexcept { return m_window; }
    /// \return Moving mean of the time to the answer; 0 before the first one.
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
    double m_meanShare = 0;  ///< Moving mean of the answers' share of the promised latency.
    double m_meanMicros = 0; ///< Moving mean of the answers.
    TimePoint m_servedAt{};  ///< Last answer that took as long as work takes.
    TimePoint m_lastSentAt{};
    std::deque<TimePoint> m_inFlight; ///< When each request without an answer went, in order.
};

} // namespace baobabtrail
