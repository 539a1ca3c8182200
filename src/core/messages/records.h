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

/// \brief Asks for the records after \a after.
struct FetchRecords
{
    Revision after;
    std::uint32_t limit = 64;
};

/// \brief Records in order, each as it stands in the log; or a snapshot where the log no longer
/// reaches back that far.
struct Records
{
    std::vector<std::string> snapshotShards; ///< Empty where the records suffice.
    Revision snapshotRevision;
    std::vector<std::string> records; ///< They follow on \a snapshotRevision, or on the asked one.
    Revision latest;                  ///< Newest revision that the sender has in force.
};

/// \brief Asks for what a daemon knows of the members of its failure domain.
struct FetchStatus
{
};

/// \brief Status of a failure domain as one of its daemons sees it.
struct DomainStatus
{
    std::string domain;
    Revision revision; ///< In force at the sender.
    std::vector<MemberUpdate> members;
    Duration configAge{0}; ///< Since the sender last heard that its configuration is the newest.
};

using RecordsMessage = std::variant<FetchRecords, Records, FetchStatus, DomainStatus>;

} // namespace baobabtrail
