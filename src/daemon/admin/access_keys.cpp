#include "daemon/admin/access_keys.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace baobabtrail::daemon {

namespace {

constexpr std::size_t HashBytes = 32;
constexpr std::size_t HashDigits = 2 * HashBytes;
constexpr std::string_view OperatorName = "operator";

/// \brief Compares in a time that does not depend on how many digits match, so that answers can't
/// be timed to guess a hash digit by digit.
[[nodiscard]] bool sameHash(std::string_view a, std::string_view b) noexcept
{
    return a.size() == HashDigits && b.size() == HashDigits
           && sodium_memcmp(a.data(), b.data(), HashDigits) == 0;
}

} // namespace

std::string accessKeyHash(std::string_view key)
{
    std::array<unsigned char, HashBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::array<char, HashDigits + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), hash.data(), hash.size());
    return std::string{digits.data(), HashDigits};
}

bool isAccessKeyHash(std::string_view text) noexcept
{
    constexpr std::string_view Digits = "0123456789abcdef";
    return text.size() == HashDigits && text.find_first_not_of(Digits) == std::string_view::npos;
}

std::optional<language::Caller> findCaller(std::string_view key,
                                           const std::vector<std::string> &operatorHashes,
                                           const Config &config)
{
    if (key.empty())
        return std::nullopt;
    const std::string hash = accessKeyHash(key);
    std::optional<language::Caller> caller;
    for (const auto &[name, tenant] : config.tenants) {
        if (sameHash(hash, tenant.keyHash))
            caller = language::Caller{name, name};
    }
    for (const std::string &operatorHash : operatorHashes) {
        if (sameHash(hash, operatorHash))
            caller = language::Caller{std::string{OperatorName}, {}};
    }
    return caller;
}

} // namespace baobabtrail::daemon
