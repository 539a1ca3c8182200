#pragma once

#include "core/placement/placement_settings.h"
#include "core/placement/service_load.h"
#include "core/placement/service_plan.h"

namespace baobabtrail {

/// \brief Decides how many targets of a failure domain are reserved for urgent requests.
///
/// Load pattern: less urgent requests ask for more than all targets carry. Targets refuse whatever
/// meets a full queue, urgent or not. On reserved targets urgent requests meet no others.
///
/// Urgent are all priorities but the least urgent one that has work; fewer where they would need
/// every target. By Little's law their work in flight says how many slots they use, though it is
/// too large while they wait in full queues. The number therefore changes in steps, each of them
/// once the reports show the effect of the last one. One target at least stays for the others.
///
/// \param targets Targets of the domain that take new flows.
/// \param before Reservation that was in force until now.
/// \return The reservation; without targets where none is needed.
[[nodiscard]] Reservation reservationFor(const DomainLoad &load, std::size_t targets,
                                         const Reservation &before,
                                         const PlacementSettings &settings);

} // namespace baobabtrail
