#pragma once

#include "core/placement/placement_settings.h"
#include "core/placement/service_load.h"
#include "core/placement/service_plan.h"

namespace baobabtrail {

/// \brief Decides which new flows of a service are admitted.
///
/// Load pattern: callers ask for more than all targets carry. Targets then refuse whatever meets a
/// full queue, urgent or not, and each such refusal takes a flow there and the caller's time.
///
/// The limit is a rate of new flows, shared out from the most urgent priority to the least. It
/// begins where queues are full, or flows near their limit, falls by a share that grows with the
/// excess, and rises slowly while queues are short (as in DAGOR); it stays while queues are in
/// motion. Rate and queues come from the same usage, so that usage from before a change doesn't
/// change it again.
///
/// \param load With the openings that were asked for and admitted.
/// \param before Level that was in force until now.
/// \return The level; the default one while any domain has a free slot, or none has any.
[[nodiscard]] AdmissionLevel admissionFor(const ServiceLoad &load, const AdmissionLevel &before,
                                          const PlacementSettings &settings);

} // namespace baobabtrail
