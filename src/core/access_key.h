#pragma once

#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief Hash that identifies a key of the administration API: BLAKE2b-256 as 64 hexadecimal
/// digits.
///
/// Keys are random strings, not passwords, so a fast hash is enough.
[[nodiscard]] std::string accessKeyHash(std::string_view key);

/// \return Whether the text has the format that accessKeyHash() returns.
[[nodiscard]] bool isAccessKeyHash(std::string_view text) noexcept;

} // namespace baobabtrail
