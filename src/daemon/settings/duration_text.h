#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Reads a time with its unit: "300ms", "2s", "10min", "1h", "50us".
/// \return The time, or nothing where the text is not a whole number with one of these units.
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text);

/// \return The time with the largest unit that leaves a whole number, as "300ms".
[[nodiscard]] std::string toString(Duration duration);

} // namespace baobabtrail::daemon
