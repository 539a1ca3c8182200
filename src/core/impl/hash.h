#pragma once

#include <cstdint>
#include <string_view>

namespace baobabtrail::impl {

/// \brief XXH3 with a seed; gives the same result on every machine.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// \brief Hashes two numbers into one; used by all rendezvous hashing.
[[nodiscard]] std::uint64_t hashPair(std::uint64_t a, std::uint64_t b) noexcept;

} // namespace baobabtrail::impl
