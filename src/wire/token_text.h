#pragma once

#include "core/tokens.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// \brief The bytes of a token as they stand in frames; callers log them, operators explain them.
[[nodiscard]] std::string encodeToken(const FlowToken &token);
[[nodiscard]] std::string encodeToken(const ReservationToken &token);

/// \return The token, or nothing where the bytes are none. Its MAC is not checked.
[[nodiscard]] std::optional<FlowToken> decodeFlowToken(std::string_view bytes);
[[nodiscard]] std::optional<ReservationToken> decodeReservation(std::string_view bytes);

} // namespace baobabtrail::wire
