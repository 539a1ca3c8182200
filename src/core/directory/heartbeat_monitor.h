#pragma once

#include "core/directory/peer_view.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace baobabtrail {

/// \brief Notices whether the pulse of an origin still grows: then somebody looks after the store,
/// however old the copies are that come from there.
class HeartbeatMonitor
{
public:
    void observe(const Lineage &lineage, TimePoint now)
    {
        if (lineage.origin.isNull())
            return;
        // The highest of each origin: in a ring, the pulses of two origins could go round for ever.
        std::uint64_t &highest = m_highestCounts[lineage.origin];
        if (lineage.heartbeat <= highest)
            return;
        highest = lineage.heartbeat;
        m_lastAdvanceAt = now;
        if (m_highestCounts.size() > MaxOrigins)
            m_highestCounts = {{lineage.origin, lineage.heartbeat}};
    }

    /// \return When one of them grew last.
    [[nodiscard]] std::optional<TimePoint> lastAdvanceAt() const noexcept
    {
        return m_lastAdvanceAt;
    }

private:
    /// Origins that are kept apart.
    static constexpr std::size_t MaxOrigins = 64;

    std::map<Endpoint, std::uint64_t> m_highestCounts;
    std::optional<TimePoint> m_lastAdvanceAt;
};

} // namespace baobabtrail
