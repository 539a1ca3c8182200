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
/// \return The settings, or a finding for each error.
[[nodiscard]] std::variant<Settings, Findings> readSettings(std::string_view text);

/// \brief Settings of either kind of daemon, or the findings in the file.
using AnySettings = std::variant<Settings, DirectDaemonSettings, Findings>;

/// \brief Reads settings of the kind of daemon that the key "forwarding" selects: "tokens" (callers
/// and targets use the product's own frames; the default) or "direct" (targets answer callers
/// directly).
[[nodiscard]] AnySettings readAnySettings(std::string_view text);

/// \return The content of a file, or nothing where it can't be opened.
[[nodiscard]] std::optional<std::string> contentOf(const std::filesystem::path &path);

/// \brief As readAnySettings(), for the result of contentOf(); a missing file is a finding.
/// \param path Named in that finding.
[[nodiscard]] AnySettings readAnySettings(const std::optional<std::string> &content,
                                          const std::filesystem::path &path);

/// \brief As readSettings(), from a file.
[[nodiscard]] std::variant<Settings, Findings> readSettingsFile(const std::filesystem::path &path);

} // namespace baobabtrail::daemon
