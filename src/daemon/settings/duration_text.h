#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Parses a duration with its unit: "300ms", "2s", "10min", "1h", "50us".
/// \return The duration, or nothing where the text is not a non-negative integer with one of these
/// units, or the value overflows.
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text);

/// \return The duration in the largest unit that gives an integer, such as "300ms".
[[nodiscard]] std::string toString(Duration duration);

} // namespace baobabtrail::daemon
