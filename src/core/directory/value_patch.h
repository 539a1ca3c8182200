#pragma once

/// \file
/// \brief Patches that make a value out of an older one, so that the cost of an update follows the
/// size of the change.

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail {

/// Smallest value that is sent as a patch, in bytes. Below it a patch saves less than a query and
/// its answer cost anyway.
inline constexpr std::size_t MinPatchedBytes = 4096;

/// \brief Makes a patch that turns \a base into \a value, with a checksum of the value.
/// \throws std::runtime_error where the codec fails, as a rule for lack of memory.
[[nodiscard]] std::string makePatch(std::string_view base, std::string_view value);

/// \return The value, or nothing where the patch was made for another base or is damaged.
[[nodiscard]] std::optional<std::string> applyPatch(std::string_view base, std::string_view patch);

} // namespace baobabtrail
