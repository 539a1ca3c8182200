#pragma once

/// \file
/// \brief What makes a value out of an older one, so that a change costs what it changes.

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail {

/// Values from this size on are sent as patches, in bytes. Below it a patch saves less than a
/// question and its answer cost anyway.
inline constexpr std::size_t MinPatchedBytes = 4096;

/// \return A patch that makes \a value out of \a base, with a checksum of the value.
/// \throws std::runtime_error where the codec fails, for want of memory as a rule.
[[nodiscard]] std::string makePatch(std::string_view base, std::string_view value);

/// \return The value, or nothing where the patch was not made for this base or is damaged.
[[nodiscard]] std::optional<std::string> applyPatch(std::string_view base, std::string_view patch);

} // namespace baobabtrail
