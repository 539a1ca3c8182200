#pragma once

/// \file
/// \brief Queries and answers by which daemons share their copies of the store's collections.

#include "core/directory/collection_copy.h"
#include "core/endpoint.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief The version that the querying daemon has of one collection.
struct CollectionQuery
{
    std::string prefix;
    ObjectVersion after; ///< Version of its copy; null where it has none.

    friend bool operator==(const CollectionQuery &, const CollectionQuery &) = default;
};

/// \brief Asks a daemon for what is newer than the given versions; long poll.
struct PeerQuery
{
    std::vector<CollectionQuery> collections;
    Duration wait{0}; ///< How long the answer may be delayed while nothing is newer.
    Endpoint querier; ///< Where the querying daemon answers queries itself.
    std::string domain;
    /// Time since the store confirmed the older of the querying daemon's copies; nothing where one
    /// is missing. If that copy is younger than the queried daemon's, the queried daemon may query
    /// back.
    std::optional<Duration> age;
    /// The origin that the querying daemon is linked to, and the highest heartbeat that it has
    /// seen.
    Endpoint origin;
    std::uint64_t heartbeat = 0;
    /// To be answered at once, without a follower slot.
    bool oneShot = false;
    bool patches = false; ///< The querying daemon accepts patches of large values.
    bool whole = false;   ///< The querying daemon accepts copies that were packed for several.

    /// \return Whether the querying daemon has no copy of any of the collections.
    [[nodiscard]] bool lacksAllCopies() const noexcept
    {
        return std::all_of(collections.begin(), collections.end(),
                           [](const CollectionQuery &each) { return each.after.isNull(); });
    }
    /// \return Whether the querying daemon has no copy of one of the collections.
    [[nodiscard]] bool lacksCopy() const noexcept
    {
        return std::any_of(collections.begin(), collections.end(),
                           [](const CollectionQuery &each) { return each.after.isNull(); });
    }
};

/// \brief The path by which a daemon's copies come from the store.
struct Lineage
{
    /// The daemon itself, the daemon that its copy comes from, and so on up to the origin, which
    /// watches the store. A daemon that finds itself in a source's path must not copy from there:
    /// both would wait for each other.
    std::vector<Endpoint> path;
    Endpoint origin; ///< The daemon that watches the store; null where none is known.
    /// Counted by the origin. A daemon that sees it advance is connected to the origin, however old
    /// its copy is; among daemons that only have their copies from each other it stands still.
    std::uint64_t heartbeat = 0;
};

/// Interval of an origin's heartbeat: shorter than the second in which followers query.
inline constexpr Duration HeartbeatInterval = 100ms;
/// Followers are notified of a heartbeat after this many counts. That is less than the shortest
/// wait of the first hop, so that each follower gets it at once, however many hops away.
inline constexpr std::uint64_t MinHeartbeatAdvance = 5;

/// \brief A patch that makes an object's new value out of an older one.
struct ValuePatch
{
    std::string key;
    ObjectVersion base;    ///< Version of the object that the patch applies to.
    ObjectVersion version; ///< Version of the resulting object.
    std::string bytes;     ///< Encoded by makePatch().
};

/// \brief What the querying daemon lacks of one collection.
struct CollectionAnswer
{
    CollectionDelta delta;
    std::vector<ValuePatch> patches; ///< Further objects of the delta, as patches.
    /// Time since the store returned from an outage, if recent: lapsed targets may register again.
    std::optional<Duration> sinceStoreReturn;
};

class WholeCopy;

/// \brief A daemon that the querying one is redirected to; it follows the answering one.
struct PeerReferral
{
    Endpoint address;
    std::optional<std::string> domain{}; ///< Nothing in the answer of an older release.

    friend bool operator==(const PeerReferral &, const PeerReferral &) = default;
};

/// \brief The state of the answering daemon's copies, or daemons to query instead.
struct PeerAnswer
{
    std::string domain;
    /// In the order of the query; empty where the daemon is empty or redirects.
    std::vector<CollectionAnswer> collections;
    /// In place of \a collections, where the querying daemon has no copies.
    std::shared_ptr<WholeCopy> whole;
    Duration age{0}; ///< Time since the store confirmed the older copy.
    Lineage lineage; ///< Of the answering daemon.
    /// The querying daemon has one of the few follower slots of the answering one. While the copy
    /// is stale, only daemons with a slot query the store themselves.
    bool hasSlot = true;
    bool isEmpty = false; ///< It has no copies itself yet and waits for them.
    /// Followers of the answering daemon, whose follower slots are all taken.
    std::vector<PeerReferral> redirect;
};

/// \brief Nothing where the peer has no copy, or none with a known confirmation.
using PeerReply = std::optional<PeerAnswer>;

/// \return Whether the querying daemon will go on to another one, so that its connection can be
/// closed.
[[nodiscard]] inline bool closesConnection(const PeerReply &reply) noexcept
{
    return !reply || !reply->redirect.empty();
}

/// \brief Timeouts of a query, all counted from when it is sent.
struct QueryTimeouts
{
    /// Until the connection is accepted. The peer's VM accepts it however busy the peer is; a VM
    /// that has no power or is cut off doesn't.
    Duration connect{0};
    Duration firstByte{0}; ///< Until the answer begins: a live peer answers at once.
    /// Until the answer is complete. An answer that keeps arriving is waited for: if it were
    /// abandoned and requested elsewhere, it would start over there and be late again, while the
    /// links carry both.
    Duration total{0};
};

/// \brief The result of a query.
struct PeerResult
{
    PeerReply reply;         ///< Nothing where the peer didn't answer, or not completely in time.
    std::uint64_t bytes = 0; ///< Bytes received, also of an incomplete answer.
    std::string why{};       ///< Why there is no reply; empty where there is one.
};

/// \brief How a query ended.
enum class QueryOutcome {
    Applied,       ///< The copy is as new as the source's.
    Stale,         ///< The source's copy is out of date itself.
    Empty,         ///< The source has no copy yet and waits for one.
    Redirected,    ///< The source named other daemons to query.
    Refused,       ///< The source's copy comes from this daemon, or over too many hops.
    PatchMismatch, ///< A patch was made for a value that this daemon never had.
    Unanswered,    ///< No answer, or not completely in time.
};

/// \brief How a query ended, for the log and the metrics.
struct QueryReport
{
    Endpoint source;
    ObjectVersion after; ///< Oldest version of the querying daemon's copies.
    Duration wait{0};    ///< Wait that the query allowed the source.
    Duration took{0};    ///< Until the query ended.
    std::uint64_t bytes = 0;
    QueryOutcome outcome = QueryOutcome::Applied;
    std::string why{}; ///< Set where there was no usable answer.
};

} // namespace baobabtrail
