#pragma once

#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief Hash by which a key of the administration API is known: BLAKE2b-256, 64 hexadecimal
/// digits. Keys are random texts, not passwords, so a fast hash is enough.
[[nodiscard]] std::string accessKeyHash(std::string_view key);

/// \return Whether the text has the form of accessKeyHash().
[[nodiscard]] bool isAccessKeyHash(std::string_view text) noexcept;

} // namespace baobabtrail
