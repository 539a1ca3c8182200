#pragma once

/// \file
/// \brief Messages by which daemons fetch change records and status from each other, over HTTP
/// (request and reply).

#include "core/ids.h"
#include "core/messages/peer.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Requests the records after revision \a after.
struct FetchRecords
{
    Revision after;
    std::uint32_t limit = 64;
};

/// \brief Records in order, each as stored in the log, preceded by a snapshot if the log no longer
/// reaches back far enough.
struct Records
{
    std::vector<std::string> snapshotShards; ///< Empty if no snapshot is needed.
    Revision snapshotRevision;
    std::vector<std::string> records; ///< They follow \a snapshotRevision or the requested one.
    Revision latest;                  ///< Newest revision in force at the sender.
};

/// \brief Requests the status of the daemon's failure domain.
struct FetchStatus
{
};

/// \brief Status of a failure domain as seen by one of its daemons.
struct DomainStatus
{
    std::string domain;
    Revision revision; ///< In force at the sender.
    std::vector<MemberUpdate> members;
    Duration configAge{0}; ///< Since the sender's configuration was last confirmed as the newest.
};

using RecordsMessage = std::variant<FetchRecords, Records, FetchStatus, DomainStatus>;

} // namespace baobabtrail
