#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace baobabtrail::impl {

/// \brief Number of open flows of a target: counted by the owner, corrected by the target's
/// reports.
///
/// The owner sees every flow that it places but not every end. The target sees both, but its
/// reports may be late or wrong. So the count follows the reports slowly, and a report is ignored
/// as implausible if it lacks nearly all flows that the owner just placed, or is several times the
/// average.
class ConnectionCount
{
public:
    void accepted(TimePoint now) noexcept;
    /// \param average Average flows of a target, assumed where the report is implausible.
    void reported(std::uint32_t connections, double average, TimePoint now) noexcept;

    [[nodiscard]] double value() const noexcept { return m_count; }
    [[nodiscard]] bool plausible() const noexcept { return m_plausible; }

private:
    void decayRecent(TimePoint now) noexcept;

    double m_count = 0;
    double m_recent = 0; ///< Flows placed recently; decays over a minute.
    TimePoint m_recentAt{};
    std::optional<TimePoint> m_reportAt;
    bool m_plausible = true;
};

} // namespace baobabtrail::impl
