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

/// \brief Times of a PeerFeed.
struct PeerFeedSettings
{
    /// One question: just longer than a root's watch, with whose end the answer comes by itself. A
    /// peer that died silently costs this and the timeout, and another one has to be asked within
    /// the three seconds after which a change is in force.
    Duration wait = 1600ms;
    /// Until an answer begins, on top of the wait; peers answer within milliseconds.
    Duration timeout = 400ms;
    /// Until its end, on top of the wait: a megabyte over 2 Mbit/s takes 4 s, and the half of that
    /// again goes to others on the same link.
    Duration answerTimeout = 6s;
    /// Until a peer's VM takes a connection. A dark one costs this at a start, while callers wait.
    Duration connectTimeout = 200ms;
    /// One question while this daemon has no copy, to a source that may have none either.
    Duration emptyWait = 1s;
    /// For a whole copy to begin, on top of that wait; it is made first.
    Duration copyTimeout = 2s;
    Duration retry = 100ms;         ///< Between sources that don't answer; doubles, with jitter.
    Duration maxRetry = 1s;         ///< At most; hundreds may have lost the same source.
    Duration retryFailedAfter = 1s; ///< Until a source that failed is tried again.
    /// Between two looks at a root whose copy was out of date, by those who wait at another one.
    Duration retryStaleAfter = 2s;
    /// A source whose origin's pulse has stood for so long is linked to nobody. The pulse comes
    /// with each question (the wait), and has to stand for less than what makes a copy stale: in a
    /// ring of daemons both stop at once.
    Duration originTimeout = 2100ms;
    /// Age at which a peer's copy is no better than none: a watch of a root at the store takes 1.5
    /// s, its followers hear of its end at once, and 0.7 s are for slow answers. Half a second
    /// later a daemon has to have asked the store itself, to know of a change within three seconds.
    Duration staleAfter = 2200ms;
    /// A daemon that starts without a copy asks the store beside its peers from then on: those that
    /// live have answered, and where all have started at once callers wait for the store.
    Duration headStart = 100ms;
    /// The same once a peer that has the copies has answered.
    Duration copyHeadStart = 1s;
    /// A process that starts waits this long for a peer before it asks the store itself. Worth it
    /// only where the whole system starts and no caller waits.
    Duration startupWait{0};
};

/// \brief What a PeerFeed needs of its surroundings.
struct PeerFeedCallbacks
{
    std::function<TimePoint()> now;
    std::function<void(Duration, std::function<void()>)> after;
    /// Asks a peer; the handler is called once, later, within \a limits.
    std::function<void(const Endpoint &peer, const PeerQuery &query, const QueryTimeouts &limits,
                       std::function<void(PeerResult)>)>
        ask;
    std::function<void(const QueryReport &)> ended{}; ///< Told of each question; may be empty.
};

/// \brief Who asks.
struct PeerIdentity
{
    Endpoint address; ///< Where this daemon answers questions itself; null for nowhere.
    std::string domain;
};

/// \brief What the other daemons are good for.
enum class PeerState {
    Fresh,   ///< One of them has copies that the store confirmed lately.
    Waiting, ///< The source's copies are old; one that is nearer to the store looks after that.
    Stale,   ///< They answer, but the store is away from all of them; nobody is nearer to it.
    Lost,    ///< None answers with a copy.
};

/// \brief Who is told of what a PeerFeed does.
struct PeerFeedHandlers
{
    /// Each change of the state.
    std::function<void(PeerState)> contact;
    /// A source has answered for the copies. \a changed: one of them is another one now.
    std::function<void(bool changed)> answered;
};

/// \brief Keeps the copies of the store's collections up to date from other daemons.
///
/// Asks one source at a time, of the own failure domain where one answers, and goes on to the next
/// where it fails or vouches for nothing. Where the source's copies are out of date, or it has none
/// yet, but somebody on the way up looks after that, this daemon stays and waits: in an outage
/// hundreds would else ask the roots.
class PeerFeed
{
public:
    PeerFeed(PeerFeedSettings settings, PeerIdentity identity, PeerFeedCallbacks callbacks,
             Random &random, std::vector<SharedCollection> collections, PeerFeedHandlers handlers);
    PeerFeed(const PeerFeed &) = delete;
    PeerFeed &operator=(const PeerFeed &) = delete;

    /// \brief Starts, or asks anew. \param roots Daemons that watch the store.
    void start(const std::vector<Endpoint> &roots);
    /// \brief Tells the source at once how young this daemon's own copies have become.
    void notifySource();
    /// \brief Tells the other roots how young this daemon's own copies have become.
    void notifyRoots();
    /// \brief Takes a daemon for a source whose copies are younger, and asks it at once.
    void trySource(const Endpoint &fresher);

    [[nodiscard]] PeerState state() const noexcept { return m_state; }
    /// \return The source that answered last; null for none.
    [[nodiscard]] const Endpoint &source() const noexcept { return m_source; }
    /// \return Of the source.
    [[nodiscard]] const Lineage &lineage() const noexcept { return m_lineage; }
    /// \return When the origin's pulse grew last.
    [[nodiscard]] std::optional<TimePoint> heartbeatAt() const noexcept
    {
        return m_heartbeats.lastAdvanceAt();
    }
    /// \return Whether somebody on the way up looks after the store.
    [[nodiscard]] bool originAlive() const;

private:
    enum class QueryKind {
        Normal,
        OneShot, ///< Are the copies there out of date too?
    };

    [[nodiscard]] bool isEmpty() const { return !m_copies.complete(); }
    /// \brief Callers wait: the store has to be asked too, unless a peer is about to bring a copy.
    void fallBackToStore(TimePoint startedAt);
    /// \brief Takes the peers for lost, or stale, once every source has failed.
    void checkAllFailed();
    [[nodiscard]] Duration waitFor(QueryKind kind, const Endpoint &source) const;
    [[nodiscard]] Duration maxWait() const;
    [[nodiscard]] QueryTimeouts timeoutsFor(Duration wait) const;
    void queryNext();
    [[nodiscard]] PeerQuery makeQuery(QueryKind kind, const Endpoint &source) const;
    void sendQuery(const Endpoint &source, QueryKind kind = QueryKind::Normal);
    void onResult(QueryReport end, QueryKind kind, PeerResult result);
    /// \return Why the answer is no use; empty where it is.
    [[nodiscard]] std::string rejectReason(const PeerAnswer &answer) const;
    /// \brief A source has no copy itself: the store has to be asked, where callers wait.
    void onSourceEmpty();
    void onEmptyAnswer(const QueryReport &end);
    void onAnswer(QueryReport end, QueryKind kind, PeerAnswer &answer);
    void reportQuery(QueryReport end, QueryOutcome outcome) const;
    void onRedirect(Source &from, const PeerAnswer &answer);
    void onFailure(const Endpoint &source);
    void onStaleAnswer(Source &source);
    /// \brief Goes on to another root, or waits at one where all are out of date.
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
    bool m_acceptsPatches = true; ///< False after one that did not fit, until an answer is taken.
    bool m_copyExpected = false;  ///< A source that has the copies has answered.
    std::optional<TimePoint> m_suggestedAt; ///< While this daemon has no copy.
    std::optional<TimePoint> m_staleSince;  ///< First answer with old copies since the last fresh.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace baobabtrail
