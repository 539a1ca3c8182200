#pragma once

#include "core/config/config.h"
#include "language/backend.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Finds the holder of an access key.
/// \param key The key that the request carries.
/// \param operatorHashes Hashes of the operators' keys.
/// \param config Holds the hashes of the workspaces' keys.
/// \return The holder, or nothing where the key is empty or unknown.
[[nodiscard]] std::optional<language::Caller>
findCaller(std::string_view key, const std::vector<std::string> &operatorHashes,
           const Config &config);

} // namespace baobabtrail::daemon
