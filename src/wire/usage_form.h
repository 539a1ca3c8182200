#pragma once

/// \file
/// \brief Format of the usage reports that daemons send each other, one in each datagram.

#include "core/usage/usage_message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// Largest report, in bytes: fits in a datagram on every link without fragments.
inline constexpr std::size_t MaxUsageBytes = 1200;

/// \brief Encodes a report. Where it would be too long, the smallest parts are left out.
[[nodiscard]] std::string encodeUsage(const UsageMessage &message);
/// \return The report, or nothing if the bytes are not a valid one.
[[nodiscard]] std::optional<UsageMessage> decodeUsage(std::string_view bytes);

} // namespace baobabtrail::wire
