#pragma once

/// \file
/// \brief What daemons ask each other about their copies of the store's collections.

#include "core/directory/collection_copy.h"
#include "core/endpoint.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief What an asking daemon has of one collection.
struct CollectionQuery
{
    std::string prefix;
    ObjectVersion after; ///< Version of its copy; null where it has none.
};

/// \brief Asks a daemon for what it knows beyond a version; it may wait for a change.
struct PeerQuery
{
    std::vector<CollectionQuery> collections;
    Duration wait{0}; ///< Longest wait where nothing is newer.
    Endpoint querier; ///< Where the asking daemon answers such questions itself.
    std::string domain;
    /// Since the store confirmed the older one of the asking daemon's copies; nothing where one is
    /// missing. One that is younger than the copies of the daemon that is asked may help that one.
    std::optional<Duration> age;
    /// The origin that the asking daemon is linked to, and its highest pulse so far.
    Endpoint origin;
    std::uint64_t heartbeat = 0;
    /// Only a look: to be answered at once, and to take no seat.
    bool oneShot = false;
    bool patches = false; ///< Large values may come as patches.

    /// \return Whether the asking daemon has no copy of one of the collections.
    [[nodiscard]] bool lacksCopy() const noexcept
    {
        return std::any_of(collections.begin(), collections.end(),
                           [](const CollectionQuery &each) { return each.after.isNull(); });
    }
};

/// \brief How a daemon's copy comes from the store.
struct Lineage
{
    /// The daemon itself, the one that it has its copy from, and so on up to the origin, which
    /// looks after the store. A daemon that finds itself here must not take its copy from there:
    /// both would wait for each other.
    std::vector<Endpoint> path;
    Endpoint origin; ///< The daemon that looks after the store; null where none is known.
    /// Counted by the origin. Whoever sees it grow is linked to the origin, however old the copy
    /// is; among daemons that only have their copies from each other it stands.
    std::uint64_t heartbeat = 0;
};

/// One count of a pulse: finer than the second in which followers ask.
inline constexpr Duration HeartbeatInterval = 100ms;
/// Followers hear of a pulse after so many counts: less than the shortest wait of the first hop, so
/// that each of them gets it at once, however many hops away.
inline constexpr std::uint64_t MinHeartbeatAdvance = 5;

/// \brief An object's new value, as what makes it out of an older one.
struct ValuePatch
{
    std::string key;
    ObjectVersion base;    ///< Of the object whose value is patched.
    ObjectVersion version; ///< Of the object that comes out.
    std::string bytes;     ///< As makePatch() makes them.
};

/// \brief What the answering daemon has of one collection and the asking one lacks.
struct CollectionAnswer
{
    CollectionDelta delta;
    std::vector<ValuePatch> patches; ///< Objects that are part of the delta besides.
    /// Since the store came back from being away, where that was lately: what lapsed meanwhile may
    /// register again.
    std::optional<Duration> sinceStoreReturn;
};

/// \brief A daemon that has its copies from the answering one.
struct PeerReferral
{
    Endpoint address;
    std::optional<std::string> domain{}; ///< Nothing where the answer is an older release's.

    friend bool operator==(const PeerReferral &, const PeerReferral &) = default;
};

/// \brief What the daemon knows, or whom to ask instead.
struct PeerAnswer
{
    std::string domain;
    /// In the order of the question; none where the daemon is blank or names others to ask.
    std::vector<CollectionAnswer> collections;
    Duration age{0}; ///< Since the store confirmed the older copy.
    Lineage lineage; ///< Of the answering daemon.
    /// The asking daemon is one of the few that the answering one answers while all is well. While
    /// the copy is out of date everybody is answered, and only these look at the store for
    /// themselves.
    bool hasSlot = true;
    bool isEmpty = false; ///< It has no copies itself yet, and waits for them.
    /// Daemons that have their copies from this one, which answers enough already.
    std::vector<PeerReferral> redirect;
};

/// \brief Nothing where the peer has no copy that it can vouch for.
using PeerReply = std::optional<PeerAnswer>;

/// \return Whether the asking daemon goes on elsewhere, so that its connection is of no more use.
[[nodiscard]] inline bool closesConnection(const PeerReply &reply) noexcept
{
    return !reply || !reply->redirect.empty();
}

/// \brief How long a question may take, from the moment it is asked.
struct QueryTimeouts
{
    /// Until the peer's VM takes the connection, as it does however busy the peer is; a VM that is
    /// dark or cut off does not.
    Duration connect{0};
    Duration firstByte{0}; ///< Until the answer begins: a peer that lives answers at once.
    /// Until its end. An answer that goes on arriving is waited for: given up and asked for
    /// elsewhere, it would begin anew there and be late again, while the links carry both.
    Duration total{0};
};

/// \brief What a question brought the daemon that asked it.
struct PeerResult
{
    PeerReply reply;         ///< Nothing where the peer said nothing, or not all of it in time.
    std::uint64_t bytes = 0; ///< Received, of an answer that was not whole too.
    std::string why{};       ///< There is no reply; empty where there is one.
};

/// \brief What became of a question.
enum class QueryOutcome {
    Applied,       ///< The copy is as new as the source's.
    Stale,         ///< The source's copy is out of date itself.
    Empty,         ///< The source waits for a copy itself.
    Redirected,    ///< The source named others to ask.
    Refused,       ///< The source has its copy from this daemon, or over too many others.
    PatchMismatch, ///< A patch was made for a value that this daemon never had.
    Unanswered,    ///< Nothing, or not all of it in time.
};

/// \brief How a question ended, for the log and the counters.
struct QueryReport
{
    Endpoint source;
    ObjectVersion after; ///< Oldest version of the asking daemon's copies.
    Duration wait{0};    ///< That the source was allowed.
    Duration took{0};    ///< Until the end.
    std::uint64_t bytes = 0;
    QueryOutcome outcome = QueryOutcome::Applied;
    std::string why{}; ///< Of an outcome that is no answer.
};

} // namespace baobabtrail
