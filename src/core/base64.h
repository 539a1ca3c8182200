#pragma once

#include <string>
#include <string_view>

namespace baobabtrail {

/// \return Bytes as text, with padding.
[[nodiscard]] std::string toBase64(std::string_view bytes);
/// \throws std::runtime_error where the text is not base64.
[[nodiscard]] std::string fromBase64(std::string_view text);

} // namespace baobabtrail
