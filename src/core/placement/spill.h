#pragma once

#include "core/placement/placement_settings.h"
#include "core/placement/service_load.h"
#include "core/placement/service_plan.h"

#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Decides how the new flows of a failure domain are shared among the domains' targets.
///
/// Load pattern: one domain is asked for more than its targets carry while others have room. The
/// own domain is filled first, and what doesn't fit goes where there is room, in proportion to it.
/// All daemons compute this from the same usage, so together they send the right amount.
///
/// \param home Failure domain of the daemon.
/// \return The shares; empty where the home domain has room for all of its callers.
[[nodiscard]] std::vector<DomainShare> spillShares(const std::string &home, const ServiceLoad &load,
                                                   const PlacementSettings &settings);

} // namespace baobabtrail
