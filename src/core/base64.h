#pragma once

#include <string>
#include <string_view>

namespace baobabtrail {

/// \return The bytes in standard base64 with padding.
[[nodiscard]] std::string toBase64(std::string_view bytes);
/// \return The decoded bytes.
/// \throws std::runtime_error if the text is not standard base64 with padding.
[[nodiscard]] std::string fromBase64(std::string_view text);

} // namespace baobabtrail
