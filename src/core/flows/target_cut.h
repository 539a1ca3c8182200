#pragma once

#include "core/config/config.h"
#include "core/tokens.h"

namespace baobabtrail {

/// \brief Whether the target of an established flow has been cut off, by this configuration.
///
/// A flow whose target was cut would go on into an address that may serve another service soon. A
/// configuration older than the token can't tell a cut target from one it hasn't heard of yet; the
/// target itself then refuses a service or generation that is not its own.
/// \param config In force at the daemon that has to forward. \param token Already checked.
[[nodiscard]] bool wasCut(const Config &config, const FlowToken &token) noexcept;

} // namespace baobabtrail
