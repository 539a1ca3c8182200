#pragma once

#include <cstdint>
#include <string_view>

namespace baobabtrail::impl {

/// \brief XXH3 with a seed; the same on every machine.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// \brief Mixes two numbers into one; the base of every rendezvous hash.
[[nodiscard]] std::uint64_t hashPair(std::uint64_t a, std::uint64_t b) noexcept;

} // namespace baobabtrail::impl
