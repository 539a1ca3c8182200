#pragma once

#include <filesystem>
#include <string>
#include <variant>

namespace baobabtrail::daemon {

/// \brief Why a file with a secret is not used.
struct SecretError
{
    std::string text;
};

/// \brief Reads a secret from a file that nobody but its owner may read.
///
/// White space at the end is left out, so that an editor's last line break does no harm.
/// \return The secret, or why it is not used.
[[nodiscard]] std::variant<std::string, SecretError>
readSecretFile(const std::filesystem::path &path);

} // namespace baobabtrail::daemon
