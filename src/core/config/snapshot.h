#pragma once

#include "core/config/config.h"
#include "core/config/finding.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief An accepted change's id and revision.
struct AcceptedChange
{
    std::string changeId;
    Revision revision;

    friend bool operator==(const AcceptedChange &, const AcceptedChange &) = default;
};

/// \brief The state at one revision, from which later records apply without the earlier ones.
struct Snapshot
{
    Config config;
    /// The most recent changes, oldest first: a proposal that is repeated with the same id is
    /// recognized and not applied twice.
    std::vector<AcceptedChange> changes;
};

/// \brief Splits a snapshot into shards that fit into the platform's values.
/// \return Shards, each with a checksum and far smaller than MaxObjectBytes.
[[nodiscard]] std::vector<std::string> encodeSnapshot(const Snapshot &snapshot);

/// \return The snapshot, or why the shards can't be decoded: one is damaged or missing, or they are
/// of different revisions.
[[nodiscard]] std::variant<Snapshot, Finding>
decodeSnapshot(const std::vector<std::string> &shards);

/// \brief Lists the shards of a snapshot by checksum. Written last, so that a snapshot whose
/// writing was interrupted is recognized as incomplete.
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
