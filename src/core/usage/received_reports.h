#pragma once

#include "core/endpoint.h"
#include "core/usage/usage_message.h"

#include <map>
#include <vector>

namespace baobabtrail {

/// \brief The last report of another daemon.
struct ReceivedReport
{
    UsageMessage message;
    TimePoint measuredAt{}; ///< When the oldest part of it was measured.
    TimePoint endsAt{};     ///< It counts until then.
    bool reported = false;  ///< It is part of this daemon's last report.
};

/// \brief The reports of other daemons that still count.
class ReceivedReports
{
public:
    /// \brief Replaces the sender's last report.
    /// \return False where there are too many senders.
    [[nodiscard]] bool put(const Endpoint &from, const UsageMessage &message, TimePoint receivedAt,
                           Duration lifetime);
    void erase(const Endpoint &from) { m_reports.erase(from); }
    void clear() noexcept { m_reports.clear(); }
    void expire(TimePoint now);
    /// \brief All reports are part of this daemon's report.
    void markReported() noexcept;

    [[nodiscard]] bool empty() const noexcept { return m_reports.empty(); }
    [[nodiscard]] bool allNew() const noexcept;
    [[nodiscard]] bool anyBusy() const noexcept;
    [[nodiscard]] std::vector<Endpoint> senders() const;
    [[nodiscard]] const std::map<Endpoint, ReceivedReport> &all() const noexcept
    {
        return m_reports;
    }

private:
    std::map<Endpoint, ReceivedReport> m_reports;
};

} // namespace baobabtrail
