#include "daemon/settings/secret_file.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t MaxSecretBytes = 4096;
constexpr mode_t GroupAndOthers = S_IRWXG | S_IRWXO;

/// \brief A file descriptor that is closed at the end of its scope.
class OpenFile
{
public:
    explicit OpenFile(const char *path) noexcept
        : m_descriptor(::open(path, O_RDONLY | O_CLOEXEC))
    {
    }
    ~OpenFile()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    OpenFile(const OpenFile &) = delete;
    OpenFile &operator=(const OpenFile &) = delete;

    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
};

[[nodiscard]] SecretError systemError(const char *what)
{
    return SecretError{std::string{what} + ": " + std::strerror(errno)};
}

} // namespace

std::variant<std::string, SecretError> readSecretFile(const std::filesystem::path &path)
{
    const OpenFile file{path.c_str()};
    if (file.descriptor() < 0)
        return systemError("can't be opened");

    // Checks the mode of the opened file instead of the path: a file that is swapped in after a
    // check of the path would be read without having been checked.
    struct stat status = {};
    if (::fstat(file.descriptor(), &status) != 0)
        return systemError("can't be examined");
    if (!S_ISREG(status.st_mode))
        return SecretError{"is not a regular file"};
    if ((status.st_mode & GroupAndOthers) != 0)
        return SecretError{"is open to group or others; set its mode to 0400 or 0600"};

    std::array<char, MaxSecretBytes + 1> bytes{};
    const ssize_t size = ::read(file.descriptor(), bytes.data(), bytes.size());
    if (size < 0)
        return systemError("can't be read");
    if (static_cast<std::size_t>(size) > MaxSecretBytes)
        return SecretError{"is longer than 4096 bytes"};

    std::string secret{bytes.data(), static_cast<std::size_t>(size)};
    secret.erase(secret.find_last_not_of(" \t\r\n") + 1);
    return secret;
}

} // namespace baobabtrail::daemon
