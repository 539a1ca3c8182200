#pragma once

#include "core/config/config.h"
#include "core/config/finding.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Id of a change and the revision that it got.
struct AcceptedChange
{
    std::string changeId;
    Revision revision;

    friend bool operator==(const AcceptedChange &, const AcceptedChange &) = default;
};

/// \brief All that is needed to go on from a revision without the records before it.
struct Snapshot
{
    Config config;
    std::vector<AcceptedChange> changes; ///< The newest, oldest first; makes asking again harmless.
};

/// \brief Cuts a snapshot into values that the platform takes.
/// \return Shards, each with a checksum and far smaller than the platform's limit.
[[nodiscard]] std::vector<std::string> encodeSnapshot(const Snapshot &snapshot);

/// \return The snapshot, or why the shards make none: damaged, missing or of two revisions.
[[nodiscard]] std::variant<Snapshot, Finding>
decodeSnapshot(const std::vector<std::string> &shards);

/// \brief Names the shards of a snapshot; written last, so that one that was cut short is seen.
struct SnapshotManifest
{
    Revision revision;
    std::vector<std::string> checksums; ///< One for each shard.

    friend bool operator==(const SnapshotManifest &, const SnapshotManifest &) = default;
};

[[nodiscard]] SnapshotManifest makeManifest(Revision revision,
                                            const std::vector<std::string> &shards);
[[nodiscard]] std::string encodeManifest(const SnapshotManifest &manifest);
[[nodiscard]] std::variant<SnapshotManifest, Finding> decodeManifest(const std::string &text,
                                                                     const std::string &place);

} // namespace baobabtrail
