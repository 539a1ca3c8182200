#include "core/usage/received_reports.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// More than any daemon has followers or other roots.
constexpr std::size_t MaxReports = 256;

} // namespace

bool ReceivedReports::put(const Endpoint &from, const UsageMessage &message, TimePoint receivedAt,
                          Duration lifetime)
{
    if (m_reports.size() >= MaxReports && !m_reports.contains(from))
        return false;
    m_reports[from] = {message, receivedAt - message.age, receivedAt + lifetime, false};
    return true;
}

void ReceivedReports::expire(TimePoint now)
{
    std::erase_if(m_reports, [now](const auto &each) { return now >= each.second.endsAt; });
}

void ReceivedReports::markReported() noexcept
{
    for (auto &[from, report] : m_reports)
        report.reported = true;
}

bool ReceivedReports::allNew() const noexcept
{
    return std::none_of(m_reports.begin(), m_reports.end(),
                        [](const auto &each) { return each.second.reported; });
}

bool ReceivedReports::anyBusy() const noexcept
{
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [](const auto &each) { return each.second.message.busy; });
}

std::vector<Endpoint> ReceivedReports::senders() const
{
    std::vector<Endpoint> out;
    for (const auto &[from, report] : m_reports)
        out.push_back(from);
    return out;
}

} // namespace baobabtrail
