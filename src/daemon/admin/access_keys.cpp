#include "daemon/admin/access_keys.h"

#include "core/access_key.h"

#include <sodium.h>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t HashDigits = 64;
constexpr std::string_view OperatorName = "operator";

/// \brief Compares in constant time, so that a hash can't be guessed digit by digit from response
/// times.
[[nodiscard]] bool sameHash(std::string_view a, std::string_view b) noexcept
{
    return a.size() == HashDigits && b.size() == HashDigits
           && sodium_memcmp(a.data(), b.data(), HashDigits) == 0;
}

} // namespace

std::optional<language::Caller> findCaller(std::string_view key,
                                           const std::vector<std::string> &operatorHashes,
                                           const Config &config)
{
    if (key.empty())
        return std::nullopt;
    const std::string hash = accessKeyHash(key);
    std::optional<language::Caller> caller;
    for (const auto &[name, workspace] : config.workspaces) {
        if (sameHash(hash, workspace.keyHash))
            caller = language::Caller{name, name};
    }
    for (const std::string &operatorHash : operatorHashes) {
        if (sameHash(hash, operatorHash))
            caller = language::Caller{std::string{OperatorName}, {}};
    }
    return caller;
}

} // namespace baobabtrail::daemon
