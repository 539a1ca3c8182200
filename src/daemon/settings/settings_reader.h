#pragma once

#include "daemon/direct/direct_settings.h"
#include "daemon/settings/findings.h"
#include "daemon/settings/settings.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace baobabtrail::daemon {

/// \brief Reads settings from JSON with comments.
/// \param text The file's content.
/// \return The settings, or everything that is wrong with them.
[[nodiscard]] std::variant<Settings, Findings> readSettings(std::string_view text);

/// \brief Settings of either kind of daemon, or everything that is wrong with the file.
using AnySettings = std::variant<Settings, DirectDaemonSettings, Findings>;

/// \brief Reads settings whose key "forwarding" says what kind they are of: "tokens" (callers and
/// targets speak the product's own frames; the default) or "direct" (targets answer callers).
[[nodiscard]] AnySettings readAnySettings(std::string_view text);

/// \return The text of a file, or nothing where it can't be opened.
[[nodiscard]] std::optional<std::string> contentOf(const std::filesystem::path &path);

/// \brief As readAnySettings(), of what contentOf() found; a missing file is a finding.
/// \param path Named in that finding.
[[nodiscard]] AnySettings readAnySettings(const std::optional<std::string> &content,
                                          const std::filesystem::path &path);

/// \brief As readSettings(), from a file.
[[nodiscard]] std::variant<Settings, Findings> readSettingsFile(const std::filesystem::path &path);

} // namespace baobabtrail::daemon
