#pragma once

#include <string>
#include <string_view>

namespace baobabtrail::impl {

/// \brief Replaces the escapes of a JSON string.
/// \param rest What is between the quotes.
/// \throws JsonTextError for an escape that JSON doesn't have.
[[nodiscard]] std::string unescapeJson(std::string_view rest);

} // namespace baobabtrail::impl
