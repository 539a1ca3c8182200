#pragma once

#include "daemon/settings/settings_reader.h"

#include <filesystem>
#include <optional>
#include <string>

namespace baobabtrail::daemon {

/// \brief A settings file that may change while the daemon runs.
///
/// \code
/// SettingsFile file{path};
/// AnySettings settings = file.read();
/// // Later, periodically or on a signal:
/// if (const auto newer = file.readIfChanged())
///     apply(*newer);
/// \endcode
class SettingsFile
{
public:
    explicit SettingsFile(std::filesystem::path path);

    /// \brief Reads the file, whether or not it has changed.
    [[nodiscard]] AnySettings read();
    /// \brief Reads the file if its text has changed since the last read, so that findings are
    /// reported once instead of at each poll.
    /// \return The settings or findings, or nothing where the text is the same.
    [[nodiscard]] std::optional<AnySettings> readIfChanged();

private:
    std::filesystem::path m_path;
    std::optional<std::string> m_text; ///< As last read; nothing where the file can't be opened.
};

} // namespace baobabtrail::daemon
