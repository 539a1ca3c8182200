#include "core/directory/peer_feed.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Longest path of a source. Three roots with four followers each reach 1,000 daemons over five
/// hops; the rest is for unbalanced trees, whose hops cost milliseconds each.
constexpr std::size_t MaxHops = 12;
/// Wait of a query that is sent when the copy is about to become stale.
constexpr Duration MinWait = 10ms;
/// An empty source that answers sooner has not waited; it is not queried again at once.
constexpr Duration MinEmptyWait = 100ms;
/// Between two suggested sources that are queried at once while this daemon is empty: many may
/// offer their copies.
constexpr Duration SuggestionInterval = 500ms;

} // namespace

PeerFeed::PeerFeed(PeerFeedSettings settings, PeerIdentity identity, PeerFeedCallbacks callbacks,
                   Random &random, std::vector<SharedCollection> collections,
                   PeerFeedHandlers handlers)
    : m_settings(settings)
    , m_identity(std::move(identity))
    , m_callbacks(std::move(callbacks))
    , m_random(random)
    , m_copies(std::move(collections))
    , m_handlers(std::move(handlers))
    , m_backoff(settings.retry, settings.maxRetry)
    , m_sources(m_identity.domain, settings.retryFailedAfter, settings.retryStaleAfter)
{
}

void PeerFeed::start(const std::vector<Endpoint> &roots)
{
    ++*m_generation;
    m_startedAt = m_callbacks.now();
    m_staleSince.reset();
    m_copyExpected = false;
    m_sources.reset(roots, m_identity.address);
    m_searching = false;
    beginSearch();
    if (m_sources.empty()) {
        setState(PeerState::Lost);
        return;
    }
    if (isEmpty()) {
        const Duration wait = std::max(m_settings.startupWait, m_settings.headStart);
        m_callbacks.after(wait,
                          [this, alive = std::weak_ptr{m_generation}, startedAt = m_startedAt] {
                              if (!alive.expired())
                                  fallBackToStore(startedAt);
                          });
    }
    queryNext();
}

void PeerFeed::fallBackToStore(TimePoint startedAt)
{
    if (startedAt != m_startedAt || !isEmpty())
        return;
    const Duration waited = m_callbacks.now() - m_startedAt;
    if (!m_copyExpected || waited >= m_settings.copyHeadStart) {
        setState(PeerState::Lost);
        return;
    }
    m_callbacks.after(m_settings.copyHeadStart - waited,
                      [this, alive = std::weak_ptr{m_generation}, startedAt] {
                          if (!alive.expired())
                              fallBackToStore(startedAt);
                      });
}

// All daemons have started at once, and no peer can send a copy sooner than the store.
void PeerFeed::onSourceEmpty()
{
    if (isEmpty() && !m_copyExpected && m_callbacks.now() - m_startedAt >= m_settings.startupWait)
        setState(PeerState::Lost);
}

void PeerFeed::schedule(Duration wait)
{
    m_callbacks.after(wait,
                      [this, generation = std::weak_ptr{m_generation}, expected = *m_generation] {
                          const auto current = generation.lock();
                          if (current && *current == expected)
                              queryNext();
                      });
}

// Not longer than until the copies become stale: the answer then shows whether the source's are
// fresher.
Duration PeerFeed::maxWait() const
{
    const auto confirmed = m_copies.confirmedAt();
    if (!confirmed || m_staleSince)
        return m_settings.wait;
    const Duration left = *confirmed + m_settings.staleAfter - m_callbacks.now();
    return std::clamp(left + MinWait, MinWait, m_settings.wait);
}

Duration PeerFeed::waitFor(QueryKind kind, const Endpoint &source) const
{
    if (kind == QueryKind::OneShot)
        return Duration{0};
    // Whether the source is still there has to be known at once.
    if (m_searching && !isEmpty())
        return Duration{0};
    // A source that has not answered before is not given a wait.
    if (source != m_source)
        return Duration{0};
    return isEmpty() ? m_settings.emptyWait : maxWait();
}

QueryTimeouts PeerFeed::timeoutsFor(Duration wait) const
{
    const Duration begin = wait + (isEmpty() ? m_settings.copyTimeout : m_settings.timeout);
    return {m_settings.connectTimeout, begin, wait + m_settings.answerTimeout};
}

void PeerFeed::queryNext()
{
    const TimePoint now = m_callbacks.now();
    if (const Source *source = m_sources.choose(m_source, now)) {
        if (m_rateLimiter.admit(now))
            sendQuery(source->address);
        else
            schedule(m_settings.retry);
        return;
    }
    checkAllFailed();
    if (isEmpty())
        m_sources.clearFailures(); // Nothing to lose: retries all of them after the pause.
    schedule(m_backoff.next(m_random, Duration{0}));
}

PeerQuery PeerFeed::makeQuery(QueryKind kind, const Endpoint &source) const
{
    PeerQuery query;
    query.oneShot = kind == QueryKind::OneShot;
    query.collections = m_copies.queries();
    query.patches = m_acceptsPatches;
    query.whole = true;
    query.querier = m_identity.address;
    query.domain = m_identity.domain;
    query.origin = m_lineage.origin;
    query.heartbeat = m_lineage.heartbeat;
    if (const auto confirmed = m_copies.confirmedAt())
        query.age = m_callbacks.now() - *confirmed;
    query.wait = waitFor(kind, source);
    return query;
}

void PeerFeed::sendQuery(const Endpoint &source, QueryKind kind)
{
    const PeerQuery query = makeQuery(kind, source);
    const QueryReport end{source, m_copies.version(), query.wait};
    m_callbacks.ask(source, query, timeoutsFor(query.wait),
                    [this, end, sentAt = m_callbacks.now(), kind,
                     generation = std::weak_ptr{m_generation},
                     expected = *m_generation](PeerResult result) {
                        const auto current = generation.lock();
                        if (!current || *current != expected)
                            return;
                        QueryReport ended = end;
                        ended.took = m_callbacks.now() - sentAt;
                        ended.bytes = result.bytes;
                        onResult(std::move(ended), kind, std::move(result));
                    });
}

void PeerFeed::notifySource()
{
    if (m_sources.empty())
        return;
    ++*m_generation; // Abandons the pending query.
    queryNext();
}

// The one-shot query carries the age of this daemon's copies; a root whose copies are stale queries
// back.
void PeerFeed::notifyRoots()
{
    for (const Endpoint &root : m_sources.roots()) {
        if (root != m_source)
            m_callbacks.ask(root, makeQuery(QueryKind::OneShot, root), timeoutsFor(Duration{0}),
                            [](const PeerResult &) {});
    }
}

void PeerFeed::trySource(const Endpoint &fresher)
{
    if (fresher == m_identity.address || fresher.isNull())
        return;
    const TimePoint now = m_callbacks.now();
    if (!isEmpty() && m_state == PeerState::Fresh)
        return;
    if (isEmpty() && m_suggestedAt && now - *m_suggestedAt < SuggestionInterval)
        return;
    m_suggestedAt = now;
    m_sources.add({fresher, std::nullopt});
    ++*m_generation;
    sendQuery(fresher);
}

bool PeerFeed::originAlive() const
{
    const auto heard = m_heartbeats.lastAdvanceAt();
    return heard && m_callbacks.now() - *heard <= m_settings.originTimeout;
}

void PeerFeed::reportQuery(QueryReport end, QueryOutcome outcome) const
{
    if (!m_callbacks.ended)
        return;
    end.outcome = outcome;
    m_callbacks.ended(end);
}

std::string PeerFeed::rejectReason(const PeerAnswer &answer) const
{
    const std::vector<Endpoint> &path = answer.lineage.path;
    if (std::find(path.begin(), path.end(), m_identity.address) != path.end())
        return "the source has its copy from this daemon";
    return path.size() > MaxHops ? "the source's copy comes over too many hops" : "";
}

void PeerFeed::onResult(QueryReport end, QueryKind kind, PeerResult result)
{
    const Endpoint address = end.source;
    Source *source = m_sources.find(address);
    PeerReply &reply = result.reply;
    if (!source || !reply) {
        end.why = std::move(result.why);
        reportQuery(std::move(end), QueryOutcome::Unanswered);
        onFailure(address);
        return;
    }
    source->domain = reply->domain;
    if (!reply->redirect.empty()) {
        reportQuery(std::move(end), QueryOutcome::Redirected);
        onRedirect(*source, *reply);
        queryNext();
        return;
    }
    end.why = rejectReason(*reply);
    if (!end.why.empty()) {
        reportQuery(std::move(end), QueryOutcome::Refused);
        // The source answers, but its copies are no fresher.
        m_staleSince = m_staleSince.value_or(m_callbacks.now());
        onFailure(address);
        return;
    }
    // A one-shot query doesn't change the source of the copies; otherwise followers would see
    // another origin.
    if (kind != QueryKind::OneShot)
        m_lineage = reply->lineage;
    m_heartbeats.observe(reply->lineage, m_callbacks.now());
    if (reply->isEmpty)
        onEmptyAnswer(end);
    else
        onAnswer(std::move(end), kind, *reply);
}

// While the source is linked to a live origin, it gets a copy as soon as any other daemon. Leaving
// it would bring every daemon to the roots over and over.
void PeerFeed::onEmptyAnswer(const QueryReport &end)
{
    reportQuery(end, QueryOutcome::Empty);
    if (!isEmpty() || !originAlive()) {
        onFailure(end.source);
        return;
    }
    m_source = end.source;
    onSourceEmpty();
    if (end.wait > Duration{0} && end.took < MinEmptyWait)
        schedule(m_backoff.next(m_random, Duration{0}));
    else
        sendQuery(end.source);
}

void PeerFeed::onAnswer(QueryReport end, QueryKind kind, PeerAnswer &answer)
{
    const Endpoint address = end.source;
    if (answer.collections.size() != m_copies.queries().size()) {
        end.why = "the source answers one collection at a time, as older releases do";
        reportQuery(std::move(end), QueryOutcome::Unanswered);
        onFailure(address);
        return;
    }
    if (!m_copies.resolvePatches(answer)) {
        end.why = "a patch does not match the copy; requesting the whole value";
        reportQuery(std::move(end), QueryOutcome::PatchMismatch);
        m_acceptsPatches = false;
        sendQuery(address, kind);
        return;
    }
    m_acceptsPatches = true;
    const bool hasSlot = answer.hasSlot;
    const CopyUpdate update
        = m_copies.apply(std::move(answer), m_settings.staleAfter, m_callbacks.now());
    m_searching = m_searching && !update.fresh;
    if (update.changed || update.confirmed)
        m_handlers.answered(update.changed);
    reportQuery(std::move(end), update.fresh ? QueryOutcome::Applied : QueryOutcome::Stale);
    Source &source = *m_sources.find(address);
    source.hasSlot = hasSlot;
    if (!update.fresh) {
        onStaleAnswer(source);
        return;
    }
    source.failedAt.reset();
    source.staleAt.reset();
    source.redirectedAt.reset();
    m_backoff.reset();
    m_source = address;
    m_staleSince.reset();
    setState(PeerState::Fresh);
    queryNext();
}

void PeerFeed::setState(PeerState state)
{
    if (state == m_state)
        return;
    m_state = state;
    m_handlers.stateChanged(state);
}

} // namespace baobabtrail
