#pragma once

#include "daemon/settings/findings.h"
#include "daemon/settings/settings.h"

#include <filesystem>
#include <string_view>
#include <variant>

namespace baobabtrail::daemon {

/// \brief Reads settings from JSON with comments.
/// \param text The file's content.
/// \return The settings, or everything that is wrong with them.
[[nodiscard]] std::variant<Settings, Findings> readSettings(std::string_view text);

/// \brief As readSettings(), from a file.
[[nodiscard]] std::variant<Settings, Findings> readSettingsFile(const std::filesystem::path &path);

} // namespace baobabtrail::daemon
