#pragma once

/// \file
/// \brief Calls to the platform's object store and VM list, and their results.
///
/// Keys are the product's own, as "config/log/7"; the adapter in platform/ knows which kind and
/// name of object stands behind each.

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Version of the store's newest write of an object; grows over the whole store.
using ObjectVersion = StrongId<struct ObjectVersionTag>;
/// \brief Pairs a platform call with its result.
using CallId = StrongId<struct CallIdTag>;

struct StoredObject
{
    std::string key;
    std::string value;
    ObjectVersion version;
};

/// \brief Creates an object where none has the key.
struct CreateObject
{
    std::string key;
    std::string value;
};
/// \brief Replaces an object that still has the expected version.
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
/// \brief Lists objects by key, in the order of their keys.
struct ListObjects
{
    std::string prefix;
    std::string after; ///< Only keys behind this one.
    std::uint32_t limit = 100;
    /// The answer may be seconds old, and costs the store a fraction of one that may not.
    bool allowStale = false;
};
/// \brief Waits until an object below \a prefix is newer than \a after, or \a wait is over.
struct WatchObjects
{
    std::string prefix;
    ObjectVersion after;
    Duration wait{0};
    std::uint64_t maxBytes = 0; ///< A longer answer is not taken; 0 for any.
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

/// \brief A VM of the system as the platform lists it; the list lags.
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
/// \brief The key exists already, or has another version than expected.
struct WriteConflict
{
};
struct ObjectMissing
{
};
struct ObjectList
{
    std::vector<StoredObject> objects;
    ObjectVersion latest;                  ///< Newest version in the store when the list was made.
    std::vector<std::string> removed = {}; ///< Only from a watch: keys that are gone since.
    bool more = false; ///< Only from a list: further objects follow behind the last key.
};
/// \brief The store has forgotten the changes that a watch asked for: only a list tells the state.
struct HistoryCompacted
{
};
/// \brief A watch has more to say than was allowed: every version of each object. A list says less.
struct WatchAnswerTooLarge
{
};
struct VmList
{
    std::vector<VmEntry> vms;
};
/// \brief No usable result: refused, timed out, or the reply was lost. A write may have taken
/// effect.
struct PlatformFailure
{
    std::string what;
    Duration retryAfter{0}; ///< What the platform asked for; 0 where it said nothing.
};

using PlatformResult = std::variant<Written, WriteConflict, StoredObject, ObjectMissing, ObjectList,
                                    VmList, PlatformFailure, HistoryCompacted, WatchAnswerTooLarge>;

} // namespace baobabtrail
