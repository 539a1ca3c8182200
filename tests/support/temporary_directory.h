#pragma once

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace baobabtrail::test {

/// \brief A temporary directory, removed with its contents by the destructor.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string name = std::filesystem::temp_directory_path() / "baobabtrail-XXXXXX";
        if (!mkdtemp(name.data()))
            throw std::runtime_error("no temporary directory");
        m_path = name;
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const { return m_path / name; }
    void writeSecret(const std::string &name, const std::string &content) const
    {
        std::ofstream{file(name)} << content;
        std::filesystem::permissions(file(name), std::filesystem::perms::owner_read
                                                     | std::filesystem::perms::owner_write);
    }

private:
    std::filesystem::path m_path;
};

} // namespace baobabtrail::test
