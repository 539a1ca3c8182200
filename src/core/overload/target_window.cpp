#include "core/overload/target_window.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Weight of a new answer in the moving averages. About the last five answers count: one slow
/// request does not look like saturation, and a queue that fills within half a second is noticed
/// in time.
constexpr double AnswerGain = 0.2;
/// Answer times are capped at this multiple of the promised latency. A full queue takes that long;
/// without the cap a single request that was delayed elsewhere would make the target saturated.
constexpr double MaxAnswerShare = 1.5;
/// An answer faster than this share of the average counts as a refusal, as long as a slower answer
/// was seen within MaxServedAge. With service times that spread by a half, one real answer in a
/// hundred is that fast.
constexpr double RefusalShare = 0.3;
constexpr Duration MaxServedAge = 500ms;
/// A request counts as lost after this many times the average answer time. With a full queue of
/// four times the slots an answer takes five times the service time, but the average has grown by
/// then as well.
constexpr int LostAfterAnswers = 3;
/// Minimum age of a lost request: an endpoint retransmits its last bytes after 200 ms.
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

// This daemon may never see an answer: the caller timed out, or the flow passes through another
// daemon since one joined or left. If such requests counted for ever, a few of them would fill a
// small window, and every request held for the target would wait until its caller times out.
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
    // A window below one spaces requests out: half a request is one request per two answer times.
    const Duration pause{static_cast<Duration::rep>(m_meanMicros / m_window)};
    return now - m_lastSentAt >= std::min(pause, MinLostAfter);
}

// A target whose queue is full refuses at once. Counted as fast answers, refusals widened the
// window of exactly the targets that were full: at a load of 1.5 times the slots only one request
// in twenty was held. If all answers are fast, they are not refusals.
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
