#pragma once

#include <array>
#include <cstdio>
#include <string>

namespace baobabtrail::daemon {

/// \return The number with two decimals, as in tables and log events.
[[nodiscard]] inline std::string decimals(double value)
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace baobabtrail::daemon
