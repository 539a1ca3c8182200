#pragma once

#include "core/config/config.h"
#include "core/tokens.h"

namespace baobabtrail {

/// \brief Whether the target of an established flow was cut or removed, by this configuration.
///
/// Messages of such a flow would be sent to an address that may soon serve another service. A
/// configuration older than the token can't tell a removed target from one that it doesn't know
/// yet; then the target itself refuses a service or generation that is not its own. \param config
/// Configuration in force at the forwarding daemon. \param token Token of the flow, already
/// verified.
[[nodiscard]] bool wasCut(const Config &config, const FlowToken &token) noexcept;

} // namespace baobabtrail
