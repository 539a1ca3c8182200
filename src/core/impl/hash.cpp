#include "core/impl/hash.h"

#include <xxhash.h>

#include <array>

namespace baobabtrail::impl {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashPair(std::uint64_t a, std::uint64_t b) noexcept
{
    const std::array<std::uint64_t, 2> pair{a, b};
    return XXH3_64bits(pair.data(), sizeof pair);
}

} // namespace baobabtrail::impl
