#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Where a time between two microseconds goes.
enum class Rounding {
    Down, ///< For a time within which something has to be done.
    Up,   ///< For a time as long as which something has to be kept.
};

/// \brief Parses a duration with its unit: "300ms", "2s", "6.5s", "1e1s", "10min", "1h", "50us".
/// \return The duration, the longest one where the value is longer, or nothing where the text is
/// not a non-negative number with one of these units.
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text,
                                                    Rounding rounding = Rounding::Down);

/// \return The duration in the largest unit that gives an integer, such as "300ms".
[[nodiscard]] std::string toString(Duration duration);

} // namespace baobabtrail::daemon
