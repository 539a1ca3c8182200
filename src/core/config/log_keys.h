#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Keys of the objects that store the configuration log and its snapshots.

namespace baobabtrail {

inline constexpr std::string_view LogPrefix = "config/log/";
inline constexpr std::string_view SnapshotPrefix = "config/snapshot/";

/// \return "config/log/" and the revision, zero-padded to 20 digits so that keys sort in the order
/// of revisions.
[[nodiscard]] std::string logKey(Revision revision);
/// \return The revision, or nothing if \a key is not a key of the log.
[[nodiscard]] std::optional<Revision> parseLogKey(std::string_view key);

[[nodiscard]] std::string shardKey(Revision revision, std::size_t shard);
[[nodiscard]] std::string manifestKey(Revision revision);

/// \brief A parsed key below SnapshotPrefix.
struct SnapshotKey
{
    Revision revision;
    std::optional<std::size_t> shard; ///< Nothing for the manifest.
};
[[nodiscard]] std::optional<SnapshotKey> parseSnapshotKey(std::string_view key);

} // namespace baobabtrail
