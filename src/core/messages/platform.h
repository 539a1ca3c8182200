#pragma once

/// \file
/// \brief Calls to the platform's object store and VM list, and their results.
///
/// Keys are internal, such as "config/log/7"; the adapter in platform/ maps each to the kind and
/// name of a platform object.

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Version of an object's latest write; increases across the whole store.
using ObjectVersion = StrongId<struct ObjectVersionTag>;
/// \brief Matches a platform call with its result.
using CallId = StrongId<struct CallIdTag>;

struct StoredObject
{
    std::string key;
    std::string value;
    ObjectVersion version;
};

/// \brief Creates an object unless one with the key exists.
struct CreateObject
{
    std::string key;
    std::string value;
};
/// \brief Replaces an object if it still has the expected version.
struct UpdateObject
{
    std::string key;
    std::string value;
    ObjectVersion expected;
};
struct ReadObject
{
    std::string key;
};
/// \brief Lists objects, ordered by key.
struct ListObjects
{
    std::string prefix;
    std::string after; ///< Only keys after this one.
    std::uint32_t limit = 100;
    /// Allows an answer that is seconds old, which costs the store a fraction of a consistent read.
    bool allowStale = false;
};
/// \brief Waits until an object under \a prefix is newer than \a after, or \a wait has elapsed.
struct WatchObjects
{
    std::string prefix;
    ObjectVersion after;
    Duration wait{0};
    std::uint64_t maxBytes = 0; ///< Limit on the size of the answer; 0 for none.
};
struct DeleteObject
{
    std::string key;
};
struct ListVms
{
};

using PlatformRequest = std::variant<CreateObject, UpdateObject, ReadObject, ListObjects,
                                     WatchObjects, DeleteObject, ListVms>;

/// \brief A VM as listed by the platform; the list lags behind.
struct VmEntry
{
    DaemonId daemon;
    std::string domain;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< HTTP over TCP.
    bool leaving = false;
};

struct Written
{
    ObjectVersion version;
};
/// \brief The key already exists, or does not have the expected version.
struct WriteConflict
{
};
struct ObjectMissing
{
};
struct ObjectList
{
    std::vector<StoredObject> objects;
    ObjectVersion latest;                  ///< Newest version in the store at the time of the list.
    std::vector<std::string> removed = {}; ///< Only from a watch: keys deleted since.
    bool more = false; ///< Only from a list: more objects follow after the last key.
};
/// \brief The store has compacted the changes that a watch asked for; only a list returns the
/// current state.
struct HistoryCompacted
{
};
/// \brief The answer to a watch exceeds the allowed size, since it holds every version of each
/// object. A list is smaller.
struct WatchAnswerTooLarge
{
};
struct VmList
{
    std::vector<VmEntry> vms;
    /// Daemons whose VMs are listed by entries that are otherwise unreadable.
    std::vector<DaemonId> unreadable = {};
};
/// \brief No usable result: refused, timed out, or the reply was lost. A write may still have taken
/// effect.
struct PlatformFailure
{
    std::string what;
    Duration retryAfter{0}; ///< Wait that the platform asked for; 0 if none.
};

using PlatformResult = std::variant<Written, WriteConflict, StoredObject, ObjectMissing, ObjectList,
                                    VmList, PlatformFailure, HistoryCompacted, WatchAnswerTooLarge>;

} // namespace baobabtrail
