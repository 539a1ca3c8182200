#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>

namespace baobabtrail::impl {

/// \brief Flows that a target holds: counted at the owner, corrected by the target's reports.
///
/// The owner sees every flow that it places but not every end; the target sees both but may say so
/// late or wrongly. So the count follows the report slowly, and a report that denies nearly all
/// flows which the owner just placed, or claims several times the usual number, is not believed.
class ConnectionCount
{
public:
    void accepted(TimePoint now) noexcept;
    /// \param average Flows of a usual target, which a target that isn't believed is taken to hold.
    void reported(std::uint32_t connections, double average, TimePoint now) noexcept;

    [[nodiscard]] double value() const noexcept { return m_count; }
    [[nodiscard]] bool plausible() const noexcept { return m_plausible; }

private:
    void decayRecent(TimePoint now) noexcept;

    double m_count = 0;
    double m_recent = 0; ///< Flows placed lately, fading over a minute.
    TimePoint m_recentAt{};
    std::optional<TimePoint> m_reportAt;
    bool m_plausible = true;
};

} // namespace baobabtrail::impl
