#pragma once

#include "core/direct/direct_targets.h"
#include "core/placement/placement_settings.h"
#include "core/placement/service_load.h"
#include "core/usage/usage.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace baobabtrail {

/// \brief The plan of a service has begun, changed or ended.
struct PlanChange
{
    ServiceId service;
    const ServicePlan &before;
    const ServicePlan &plan;
    const ServiceLoad &load; ///< Decided it; without domains where the usage is unknown.
    Duration age{0};         ///< Of that usage.
};

/// \brief Decides how new flows are placed, from the usage of all daemons.
///
/// While the usage is unknown or old, nothing is planned, and DirectTargets chooses by this
/// daemon's own counts.
class PlacementPlanner
{
public:
    PlacementPlanner(std::string home, PlacementSettings settings)
        : m_home(std::move(home))
        , m_settings(settings)
    {
    }

    /// \brief Plans anew for every service with usage.
    /// \param view Null where it is unknown or too old.
    /// \param changed Called where a plan starts or stops spilling, or its
    /// reservations change; not for each change of the shares.
    void update(const UsageView *view, DirectTargets &targets, TimePoint now,
                const std::function<void(const PlanChange &)> &changed);

    /// \return Loads that decided the current plans, by service.
    [[nodiscard]] const std::map<ServiceId, ServiceLoad> &loads() const noexcept { return m_loads; }
    /// \return The time of the usage that decided; nothing where it is unknown.
    [[nodiscard]] std::optional<TimePoint> measuredAt() const noexcept { return m_measuredAt; }

private:
    /// \param isNew Whether the usage was not planned for yet.
    [[nodiscard]] ServicePlan planFor(const ServiceLoad &load, const ServicePlan &before,
                                      bool isNew) const;

    std::string m_home;
    PlacementSettings m_settings;
    std::map<ServiceId, ServiceLoad> m_loads;
    std::optional<TimePoint> m_measuredAt;
};

} // namespace baobabtrail
