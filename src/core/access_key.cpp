#include "core/access_key.h"

#include <sodium.h>

#include <array>

namespace baobabtrail {

namespace {

constexpr std::size_t HashBytes = 32;

} // namespace

std::string accessKeyHash(std::string_view key)
{
    std::array<unsigned char, HashBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::array<char, 2 * HashBytes + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), hash.data(), hash.size());
    return std::string{digits.data(), 2 * HashBytes};
}

bool isAccessKeyHash(std::string_view text) noexcept
{
    constexpr std::string_view Digits = "0123456789abcdef";
    return text.size() == 2 * HashBytes && text.find_first_not_of(Digits) == std::string_view::npos;
}

} // namespace baobabtrail
