#pragma once

#include "core/control/backoff.h"
#include "core/directory/heartbeat_monitor.h"
#include "core/directory/peer_copies.h"
#include "core/directory/peer_view.h"
#include "core/directory/query_rate_limiter.h"
#include "core/directory/source_list.h"
#include "core/random.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Timeouts and intervals of a PeerFeed.
struct PeerFeedSettings
{
    /// Wait of one query: just longer than a root's watch, whose end triggers the answer. A peer
    /// that died silently costs this and the timeout, and another one has to be queried within the
    /// three seconds after which a change is in force.
    Duration wait = 1600ms;
    /// Until an answer begins, on top of the wait; peers answer within milliseconds.
    Duration timeout = 400ms;
    /// Until an answer is complete, on top of the wait: a megabyte over 2 Mbit/s takes 4 s, plus
    /// half of that for other transfers on the same link.
    Duration answerTimeout = 6s;
    /// Until a peer's VM accepts a connection. At a start each VM without power costs this much,
    /// while callers wait.
    Duration connectTimeout = 200ms;
    /// Wait of one query while this daemon is empty, to a source that may be empty too.
    Duration emptyWait = 1s;
    /// Until a complete copy begins to arrive, on top of that wait; the source has to build it
    /// first.
    Duration copyTimeout = 2s;
    /// Between queries while no source answers; doubles, with jitter.
    Duration retry = 100ms;
    /// Upper bound of these pauses; hundreds of daemons may have lost the same source.
    Duration maxRetry = 1s;
    /// Until the store is queried too where the source fails, before all others have failed: each
    /// silent one takes a timeout of its own. Live peers answer within milliseconds.
    Duration searchTime = 200ms;
    Duration retryFailedAfter = 1s; ///< Until a source that failed is queried again.
    /// Between two one-shot queries to a root with a stale copy, by daemons that wait at another
    /// root.
    Duration retryStaleAfter = 2s;
    /// A source is disconnected from its origin when the origin's heartbeat has not advanced for
    /// this long. The heartbeat comes with the answer of each query (see \a wait), and this has to
    /// be less than \a staleAfter: in a cycle of daemons, heartbeat and confirmations stop at the
    /// same time.
    Duration originTimeout = 2100ms;
    /// Age at which a peer's copy is no better than none: a root's watch at the store takes 1.5 s,
    /// its followers are notified at once when it ends, and 0.7 s are for slow answers. Half a
    /// second later a daemon has to have queried the store itself, to learn of a change within
    /// three seconds.
    Duration staleAfter = 2200ms;
    /// A daemon that starts empty also queries the store after this time: live peers have answered
    /// by then, and where all daemons have started at once, callers wait for the store.
    Duration headStart = 100ms;
    /// As \a headStart, once a peer that has the copies has answered.
    Duration copyHeadStart = 1s;
    /// A process that starts waits this long for a peer before it queries the store itself. Only
    /// useful where the whole system starts and no callers wait.
    Duration startupWait{0};
};

/// \brief Clock, timers and transport of a PeerFeed.
struct PeerFeedCallbacks
{
    std::function<TimePoint()> now;
    std::function<void(Duration, std::function<void()>)> after;
    /// Sends a query to a peer; the handler is called once, asynchronously, within \a limits.
    std::function<void(const Endpoint &peer, const PeerQuery &query, const QueryTimeouts &limits,
                       std::function<void(PeerResult)>)>
        ask;
    /// Called for each finished query; may be empty.
    std::function<void(const QueryReport &)> ended{};
};

/// \brief The querying daemon.
struct PeerIdentity
{
    Endpoint address; ///< Where this daemon answers queries itself; null for nowhere.
    std::string domain;
};

/// \brief How far this daemon can rely on its peers' copies.
enum class PeerState {
    Fresh,   ///< A peer has copies that the store confirmed recently.
    Waiting, ///< The source's copies are stale; a daemon nearer to the store is handling that.
    Stale,   ///< Peers answer, but none of them can reach the store, nor is any nearer to it.
    Lost,    ///< No peer answers with a copy.
};

/// \brief Event handlers of a PeerFeed.
struct PeerFeedHandlers
{
    /// Called for each change of the state.
    std::function<void(PeerState)> stateChanged;
    /// Called when a source has answered for the copies. \a changed: at least one copy changed.
    std::function<void(bool changed)> answered;
};

/// \brief Keeps the copies of the store's collections up to date from other daemons.
///
/// Queries one source at a time, preferably of the local failure domain, and moves to the next one
/// where it fails or its copies are stale. Where the source's copies are stale, or it is empty, but
/// the origin above it is alive, this daemon stays and waits: otherwise hundreds of daemons would
/// query the roots during an outage.
class PeerFeed
{
public:
    PeerFeed(PeerFeedSettings settings, PeerIdentity identity, PeerFeedCallbacks callbacks,
             Random &random, std::vector<SharedCollection> collections, PeerFeedHandlers handlers);
    PeerFeed(const PeerFeed &) = delete;
    PeerFeed &operator=(const PeerFeed &) = delete;

    /// \brief Starts, or restarts with all sources.
    /// \param roots Daemons that watch the store.
    void start(const std::vector<Endpoint> &roots);
    /// \brief Tells the source at once how recently the store confirmed this daemon's copies.
    void notifySource();
    /// \brief Tells the other roots how recently the store confirmed this daemon's copies.
    void notifyRoots();
    /// \brief Adds a daemon with fresher copies as a source and queries it at once.
    void trySource(const Endpoint &fresher);

    [[nodiscard]] PeerState state() const noexcept { return m_state; }
    /// \return Whether a source has answered since start() that keeps the copies up to date, or
    /// waits itself for the store.
    [[nodiscard]] bool hasSource() const noexcept
    {
        return !m_searching && (m_state == PeerState::Fresh || m_state == PeerState::Waiting);
    }
    /// \return The source that answered last; null for none.
    [[nodiscard]] const Endpoint &source() const noexcept { return m_source; }
    /// \return The lineage of the source's copies.
    [[nodiscard]] const Lineage &lineage() const noexcept { return m_lineage; }
    /// \return When the origin's heartbeat last advanced.
    [[nodiscard]] std::optional<TimePoint> heartbeatAt() const noexcept
    {
        return m_heartbeats.lastAdvanceAt();
    }
    /// \return Whether the origin's heartbeat advanced recently, so that some daemon upstream is
    /// watching the store or trying to reach it.
    [[nodiscard]] bool originAlive() const;

private:
    enum class QueryKind {
        Normal,
        OneShot, ///< Checks whether a root's copies are stale too.
    };

    [[nodiscard]] bool isEmpty() const { return !m_copies.complete(); }
    /// \brief Reports the peers as lost, so that the store is queried too, unless a peer is about
    /// to send a copy: callers wait.
    void fallBackToStore(TimePoint startedAt);
    /// \brief No source is known to answer from now on. If none is found within the search time,
    /// the store is queried too.
    void beginSearch();
    void scheduleSearchCheck(Duration wait);
    /// \brief Reports that no source answers, once the search takes too long.
    void checkSearch();
    /// \brief Sets the state to Lost or Stale once every source has failed.
    void checkAllFailed();
    /// \brief Sets the state to Stale where a source answered with stale copies, else to Lost.
    void setUnanswered();
    [[nodiscard]] Duration waitFor(QueryKind kind, const Endpoint &source) const;
    [[nodiscard]] Duration maxWait() const;
    [[nodiscard]] QueryTimeouts timeoutsFor(Duration wait) const;
    void queryNext();
    [[nodiscard]] PeerQuery makeQuery(QueryKind kind, const Endpoint &source) const;
    void sendQuery(const Endpoint &source, QueryKind kind = QueryKind::Normal);
    void onResult(QueryReport end, QueryKind kind, PeerResult result);
    /// \return Why the answer can't be used; empty where it can.
    [[nodiscard]] std::string rejectReason(const PeerAnswer &answer) const;
    /// \brief Reports the peers as lost where the sources are empty and callers wait for the store.
    void onSourceEmpty();
    void onEmptyAnswer(const QueryReport &end);
    void onAnswer(QueryReport end, QueryKind kind, PeerAnswer &answer);
    void reportQuery(QueryReport end, QueryOutcome outcome) const;
    void onRedirect(Source &from, const PeerAnswer &answer);
    void onFailure(const Endpoint &source);
    void onStaleAnswer(Source &source);
    /// \brief Checks another root, or waits at one where all are stale.
    void onStaleRoot(Source &root);
    void setState(PeerState state);
    void schedule(Duration wait);

    PeerFeedSettings m_settings;
    PeerIdentity m_identity;
    PeerFeedCallbacks m_callbacks;
    Random &m_random;
    PeerCopies m_copies;
    PeerFeedHandlers m_handlers;
    Backoff m_backoff;
    SourceList m_sources;
    QueryRateLimiter m_rateLimiter;
    Endpoint m_source;
    Lineage m_lineage;
    HeartbeatMonitor m_heartbeats;
    TimePoint m_startedAt{};
    PeerState m_state = PeerState::Fresh;
    /// No source has answered since the start, or since the last one failed. Until one does,
    /// \a m_state says what was known before.
    bool m_searching = true;
    bool m_searchScheduled = false; ///< The timer for checkSearch() runs.
    TimePoint m_searchingSince{};
    /// False after one that didn't match, until an answer is applied.
    bool m_acceptsPatches = true;
    bool m_copyExpected = false;            ///< A source that has the copies has answered.
    std::optional<TimePoint> m_suggestedAt; ///< Last trySource() while this daemon was empty.
    std::optional<TimePoint> m_staleSince;  ///< First stale answer since the last fresh one.
    /// Incremented to invalidate pending callbacks.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
