#include "core/overload/target_window.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Share of a new answer in the moving means: about the last five answers count, so that one long
/// piece of work is no saturation, and a queue that fills within half a second is seen in time.
constexpr double AnswerGain = 0.2;
/// An answer counts for at most so many times the promised latency: a full queue takes that long,
/// and a single request that was stuck elsewhere does not make a target saturated.
constexpr double MaxAnswerShare = 1.5;
/// An answer that takes less than this share of the usual one was none to work, as long as others
/// to work have come lately. Work whose times spread by a half is so quick once in a hundred.
constexpr double RefusalShare = 0.3;
constexpr Duration MaxServedAge = 500ms;
/// A request counts as lost after so many usual answers: with a full queue of four times the slots
/// an answer takes five times the work, and the usual answer has grown as well then.
constexpr int LostAfterAnswers = 3;
/// Nor before that: an end sends its last bytes again after 200 ms.
constexpr Duration MinLostAfter = 250ms;

void blend(double &mean, double sample) noexcept
{
    mean = mean > 0 ? mean + AnswerGain * (sample - mean) : AnswerGain * sample;
}

} // namespace

void TargetWindow::sent(TimePoint at)
{
    eraseLost(at);
    m_inFlight.push_back(at);
    m_lastSentAt = at;
}

void TargetWindow::ended(TimePoint sentAt)
{
    const auto found = std::find(m_inFlight.begin(), m_inFlight.end(), sentAt);
    if (found != m_inFlight.end())
        m_inFlight.erase(found);
}

// An answer may never be seen here: its caller gave up, or its flow goes through another daemon
// since one has come or gone. Counted for ever, a few of these would close a small window, and all
// that waits for the target would wait until its callers give up.
void TargetWindow::eraseLost(TimePoint now)
{
    const Duration longest = std::max(LostAfterAnswers * meanAnswerTime(), MinLostAfter);
    while (!m_inFlight.empty() && now - m_inFlight.front() > longest)
        m_inFlight.pop_front();
}

bool TargetWindow::hasRoom(TimePoint now)
{
    if (!m_limited)
        return true;
    eraseLost(now);
    if (used() + 1 <= m_window)
        return true;
    if (!m_inFlight.empty())
        return false;
    // A window of half a request is one request in the time of two answers.
    const Duration pause{static_cast<Duration::rep>(m_meanMicros / m_window)};
    return now - m_lastSentAt >= std::min(pause, MinLostAfter);
}

// A target whose queue is full refuses at once. Taken for a quick answer, that opened the window of
// the very targets that were full: with half as much again as the slots carry, one request in
// twenty was held. Once all answers are quick, they are no refusals.
bool TargetWindow::isRefusal(double micros, TimePoint now) noexcept
{
    if (micros < m_meanMicros * RefusalShare)
        return now - m_servedAt < MaxServedAge;
    m_servedAt = now;
    return false;
}

void TargetWindow::answered(Duration took, Duration promised, TimePoint now) noexcept
{
    if (promised <= Duration{0})
        return;
    const auto most = static_cast<double>(promised.count()) * MaxAnswerShare;
    const double micros = std::min(static_cast<double>(took.count()), most);
    if (isRefusal(micros, now))
        return;
    blend(m_meanMicros, micros);
    blend(m_meanShare, micros / static_cast<double>(promised.count()));
    if (!m_limited) {
        if (m_meanShare <= m_settings.saturatedShare)
            return;
        m_limited = true;
        m_window = std::clamp(used(), m_settings.minWindow, m_settings.maxWindow);
        return;
    }
    const bool slow = m_meanShare > m_settings.saturatedShare;
    m_window = slow ? std::max(m_window * m_settings.decreaseFactor, m_settings.minWindow)
                    : m_window + m_settings.increaseStep;
    m_limited = m_window < m_settings.maxWindow;
}

} // namespace baobabtrail
