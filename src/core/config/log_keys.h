#pragma once

#include "core/ids.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Keys of the objects that hold the log of changes and its snapshots.

namespace baobabtrail {

inline constexpr std::string_view LogPrefix = "config/log/";
inline constexpr std::string_view SnapshotPrefix = "config/snapshot/";

/// \return "config/log/" and the revision with 20 digits, so that keys sort as revisions do.
[[nodiscard]] std::string logKey(Revision revision);
/// \return The revision, or nothing where \a key is no key of the log.
[[nodiscard]] std::optional<Revision> parseLogKey(std::string_view key);

[[nodiscard]] std::string shardKey(Revision revision, std::size_t shard);
[[nodiscard]] std::string manifestKey(Revision revision);

/// \brief What a key below SnapshotPrefix names.
struct SnapshotKey
{
    Revision revision;
    std::optional<std::size_t> shard; ///< Nothing for the manifest.
};
[[nodiscard]] std::optional<SnapshotKey> parseSnapshotKey(std::string_view key);

} // namespace baobabtrail
