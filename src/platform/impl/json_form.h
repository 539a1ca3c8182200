#pragma once

#include "core/messages/platform.h"

#include <string_view>

namespace baobabtrail::impl {

/// \brief Reads {"objects": [{"key", "value", "version"}], "latest"}; values are base64.
/// \return An ObjectList, or a PlatformFailure that says what is wrong.
[[nodiscard]] PlatformResult parseObjectList(std::string_view text);

/// \brief Reads {"vms": [{"daemon", "domain", "address", "records", "leaving"}]}.
/// \return A VmList, or a PlatformFailure that says what is wrong.
[[nodiscard]] PlatformResult parseVmList(std::string_view text);

} // namespace baobabtrail::impl
