#pragma once

#include "core/directory/peer_view.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace baobabtrail {

/// \brief Notices whether the pulse of an origin still grows: then somebody looks after the store,
/// however old the copies are that come from there.
class PulseWatch
{
public:
    void hear(const Lineage &lineage, TimePoint now)
    {
        if (lineage.origin.isNull())
            return;
        // The highest of each origin: in a ring, the pulses of two origins could go round for ever.
        std::uint64_t &highest = m_highest[lineage.origin];
        if (lineage.pulse <= highest)
            return;
        highest = lineage.pulse;
        m_grewAt = now;
        if (m_highest.size() > MostOrigins)
            m_highest = {{lineage.origin, lineage.pulse}};
    }

    /// \return When one of them grew last.
    [[nodiscard]] std::optional<TimePoint> grewAt() const noexcept { return m_grewAt; }

private:
    /// Origins that are kept apart.
    static constexpr std::size_t MostOrigins = 64;

    std::map<Endpoint, std::uint64_t> m_highest;
    std::optional<TimePoint> m_grewAt;
};

} // namespace baobabtrail
