/// \file
/// \brief How a PeerFeed leaves a source and finds another one, and when it reports that there is
/// none.

#include "core/directory/peer_feed.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

void PeerFeed::beginSearch()
{
    if (std::exchange(m_searching, true))
        return;
    m_searchingSince = m_callbacks.now();
    if (!m_searchScheduled)
        scheduleSearchCheck(m_settings.searchTime);
}

void PeerFeed::scheduleSearchCheck(Duration wait)
{
    m_searchScheduled = true;
    m_callbacks.after(wait, [this, alive = std::weak_ptr{m_generation}] {
        if (!alive.expired())
            checkSearch();
    });
}

// Doesn't rely on the end of any query: sources that are silent, slow or redirect this daemon to
// each other may take seconds, one after the other. An empty daemon has times of its own, see
// fallBackToStore().
void PeerFeed::checkSearch()
{
    m_searchScheduled = false;
    if (!m_searching)
        return;
    const Duration left = m_searchingSince + m_settings.searchTime - m_callbacks.now();
    if (left <= Duration{0} && !isEmpty())
        setUnanswered();
    scheduleSearchCheck(left > Duration{0} ? left : m_settings.searchTime);
}

void PeerFeed::checkAllFailed()
{
    const bool starting = isEmpty() && m_callbacks.now() - m_startedAt < m_settings.startupWait;
    if (!starting && m_sources.allFailed())
        setUnanswered();
}

void PeerFeed::setUnanswered()
{
    setState(m_staleSince ? PeerState::Stale : PeerState::Lost);
}

void PeerFeed::onRedirect(Source &from, const PeerAnswer &answer)
{
    from.failedAt = m_callbacks.now();
    from.redirectedAt = from.failedAt;
    beginSearch();
    m_copyExpected = m_copyExpected || !answer.isEmpty;
    for (const PeerReferral &named : answer.redirect) {
        if (named.address != m_identity.address && !named.address.isNull())
            m_sources.add(named);
    }
    if (answer.isEmpty)
        onSourceEmpty();
}

// While the source is linked to a live origin, it learns of the store's return as soon as any other
// daemon; leaving it would bring every daemon to the roots. A source without a live origin knows no
// more than the daemons that copy from it; only a root may know more.
void PeerFeed::onStaleAnswer(Source &source)
{
    m_staleSince = m_staleSince.value_or(m_callbacks.now());
    if (source.root) {
        onStaleRoot(source);
        return;
    }
    if (originAlive()) {
        m_source = source.address;
        m_searching = false;
        setState(PeerState::Waiting);
        m_handlers.answered(false);
        sendQuery(m_source);
        return;
    }
    m_sources.eraseReferred();
    m_source = Endpoint{};
    beginSearch();
    checkAllFailed();
    queryNext();
}

void PeerFeed::onStaleRoot(Source &root)
{
    const TimePoint now = m_callbacks.now();
    const Endpoint address = root.address;
    root.staleAt = now;
    root.failedAt.reset();
    m_sources.eraseReferred();
    if (const Source *untried = m_sources.untriedRoot(now)) {
        sendQuery(untried->address, QueryKind::OneShot);
        return;
    }
    // Returns to the root that has a follower slot for this daemon: only with a slot it queries the
    // store itself.
    const Source *home = m_sources.find(m_source);
    if (!home || !home->root || !home->staleAt || !home->hasSlot)
        home = m_sources.find(address);
    m_source = home->address;
    m_searching = false;
    setState(home->hasSlot ? PeerState::Stale : PeerState::Waiting);
    m_handlers.answered(false);
    sendQuery(m_source);
}

void PeerFeed::onFailure(const Endpoint &address)
{
    if (Source *source = m_sources.find(address))
        source->failedAt = m_callbacks.now();
    if (m_source == address)
        m_source = Endpoint{};
    beginSearch();
    m_copyExpected = false;
    if (isEmpty()
        && m_callbacks.now() - m_startedAt
               >= std::max(m_settings.startupWait, m_settings.headStart))
        setState(PeerState::Lost);
    checkAllFailed();
    queryNext();
}

} // namespace baobabtrail
