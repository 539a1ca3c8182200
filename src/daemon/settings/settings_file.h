#pragma once

#include "daemon/settings/settings_reader.h"

#include <filesystem>
#include <optional>
#include <string>

namespace baobabtrail::daemon {

/// \brief A settings file that may change while the daemon runs, with or without a signal.
///
/// \code
/// SettingsFile file{path};
/// AnySettings settings = file.read();
/// // Later, now and then:
/// if (const auto newer = file.changed())
///     apply(*newer);
/// \endcode
class SettingsFile
{
public:
    explicit SettingsFile(std::filesystem::path path);

    /// \return What the file says now, changed or not.
    [[nodiscard]] AnySettings read();
    /// \return What the file says, where its text is another one than at the last look; nothing
    /// where it is the same. So findings are told once, not at each look.
    [[nodiscard]] std::optional<AnySettings> readIfChanged();

private:
    std::filesystem::path m_path;
    std::optional<std::string> m_text; ///< At the last look; nothing where it can't be opened.
};

} // namespace baobabtrail::daemon
