#pragma once

#include "core/directory/peer_view.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace baobabtrail {

/// \brief Detects whether an origin's heartbeat still advances.
///
/// While it does, some daemon is still trying to reach the store, however old the copies from there
/// are.
class HeartbeatMonitor
{
public:
    void observe(const Lineage &lineage, TimePoint now)
    {
        if (lineage.origin.isNull())
            return;
        // The highest count is kept for each origin: in a cycle of daemons, the heartbeats of two
        // origins could circulate for ever.
        std::uint64_t &highest = m_highestCounts[lineage.origin];
        if (lineage.heartbeat <= highest)
            return;
        highest = lineage.heartbeat;
        m_lastAdvanceAt = now;
        if (m_highestCounts.size() > MaxOrigins)
            m_highestCounts = {{lineage.origin, lineage.heartbeat}};
    }

    /// \return When a heartbeat last advanced.
    [[nodiscard]] std::optional<TimePoint> lastAdvanceAt() const noexcept
    {
        return m_lastAdvanceAt;
    }

private:
    /// Origins that are tracked at a time.
    static constexpr std::size_t MaxOrigins = 64;

    std::map<Endpoint, std::uint64_t> m_highestCounts;
    std::optional<TimePoint> m_lastAdvanceAt;
};

} // namespace baobabtrail
