#pragma once

#include "core/tokens.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// \brief Serializes a token as in frames. Callers log these bytes; operators decode them with the
/// `explain` command.
[[nodiscard]] std::string encodeToken(const FlowToken &token);
[[nodiscard]] std::string encodeToken(const ReservationToken &token);

/// \return The token, or nothing if the bytes don't parse. The MAC is not checked.
[[nodiscard]] std::optional<FlowToken> decodeFlowToken(std::string_view bytes);
[[nodiscard]] std::optional<ReservationToken> decodeReservation(std::string_view bytes);

} // namespace baobabtrail::wire
