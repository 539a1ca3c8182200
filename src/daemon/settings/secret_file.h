#pragma once

#include <filesystem>
#include <string>
#include <variant>

namespace baobabtrail::daemon {

/// \brief Why a secret file was rejected.
struct SecretError
{
    std::string text;
};

/// \brief Reads a secret from a file that only its owner may access.
///
/// Trailing white space is removed, since editors end files with a line break.
/// \return The secret, or why the file was rejected.
[[nodiscard]] std::variant<std::string, SecretError>
readSecretFile(const std::filesystem::path &path);

} // namespace baobabtrail::daemon
