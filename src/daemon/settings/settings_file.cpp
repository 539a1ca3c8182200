#include "daemon/settings/settings_file.h"

#include <utility>

namespace baobabtrail::daemon {

SettingsFile::SettingsFile(std::filesystem::path path)
    : m_path(std::move(path))
{
}

std::optional<AnySettings> SettingsFile::readIfChanged()
{
    auto text = contentOf(m_path);
    if (text == m_text)
        return std::nullopt;
    m_text = std::move(text);
    return readAnySettings(m_text, m_path);
}

AnySettings SettingsFile::read()
{
    m_text = contentOf(m_path);
    return readAnySettings(m_text, m_path);
}

} // namespace baobabtrail::daemon
