/// \file
/// \brief How a daemon gets routes, targets and evacuations from the store and from its peers, and
/// passes them on to its followers.

#include "core/direct/direct_node.h"

#include "core/directory/keys.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Where no peer answers with a copy any more, the remaining daemons start to query the store at
/// random times within this span.
constexpr Duration LostJitter = 200ms;
/// Where the peers answer that the store is unreachable, each daemon tries it itself at a random
/// time within this span, as it may be unreachable for those peers only.
constexpr Duration StaleJitter = 400ms;
/// Confirmations are reported to followers in steps of at least this.
constexpr Duration MinConfirmationStep = 200ms;

} // namespace

void DirectNode::applyRoutes(const CollectionChange &change)
{
    for (const StoredObject &object : change.written) {
        auto read = m_callbacks.reader.routes(object);
        if (auto *finding = std::get_if<DirectoryFinding>(&read)) {
            refuse(object.key, std::move(*finding), false);
            continue;
        }
        m_refused.erase(object.key);
        auto routes = std::make_shared<const RouteTable>(std::get<RouteTable>(std::move(read)));
        if (routes->version < m_router.routes().version)
            continue;
        m_router.setRoutes(routes);
        notice(RoutesInForce{*routes, change.version});
    }
    for (const std::string &key : change.removed)
        m_refused.erase(key);
    settleClaims(); // Other services may be declared now.
}

// The key is enough: an entry with unreadable contents was still written to evacuate the domain.
void DirectNode::applyEvacuations(const CollectionChange &change)
{
    const auto set = [&](const std::string &key, bool evacuated) {
        const std::string domain = key.substr(EvacuationsPrefix.size());
        if (m_router.setEvacuated(domain, evacuated, m_callbacks.feed.now()))
            notice(DomainEvacuated{domain, !evacuated, m_router.targets().openFlowsIn(domain),
                                   change.version});
    };
    for (const StoredObject &object : change.written)
        set(object.key, true);
    for (const std::string &key : change.removed)
        set(key, false);
}

void DirectNode::onStoreContact(Collection &collection, const StoreCallResult &end)
{
    if (end.historyGone)
        notice(HistoryLost{collection.name, collection.copy.version()});
    const bool lost = !end.failure.empty();
    // The store may have dropped the long watch for evacuations too, which would notice much later.
    if (&collection != &m_evacuations && (end.historyGone || (!lost && collection.storeLost)))
        m_evacuations.store.refresh();
    collection.storeConnected = !lost;
    if (!lost && !end.historyGone) {
        notifyFollowers();
        // A source that is empty, or that the store refuses, gets its copies from this daemon once
        // it is notified of them, and so do all its followers.
        const bool first = hasCopies() && !std::exchange(m_hadCopies, hasCopies());
        const bool helps = storeConnected() && m_peers.state() == PeerState::Stale;
        if ((first || helps) && !m_roots.empty())
            m_peers.notifySource();
    }
    if (lost == collection.storeLost)
        return;
    collection.storeLost = lost;
    notice(StoreContact{collection.name, lost, end.failure, ageOf(collection)});
}

void DirectNode::onPeerState(PeerState state)
{
    notice(PeerContact{state, m_peers.source(), viewAge()});
    updateUsageRoute();
    if (m_isRoot) {
        // Roots that the store refuses wait for each other's copies; without the notification they
        // would learn of these much later.
        if (state == PeerState::Fresh)
            m_peers.notifyRoots();
        return;
    }
    updateStoreUse();
}

bool DirectNode::needsStore() const noexcept
{
    const PeerState state = m_peers.state();
    return !m_peers.hasSource() && (state == PeerState::Stale || state == PeerState::Lost);
}

// Follows from the present state alone: a change that is reported only once could be missed, and
// the daemon would then read neither the store nor a peer.
void DirectNode::updateStoreUse()
{
    for (Collection *collection : all()) {
        if (m_isRoot)
            continue; // Reads the store always.
        if (m_peers.hasSource())
            stopStore(*collection);
        else if (needsStore())
            startStoreLater(*collection);
    }
    noticeStoreUse();
}

bool DirectNode::readsStore() const noexcept
{
    const auto collections = all();
    return std::any_of(collections.begin(), collections.end(),
                       [](const Collection *each) { return each->store.running(); });
}

void DirectNode::noticeStoreUse()
{
    const bool reads = readsStore();
    if (reads != std::exchange(m_readsStore, reads))
        notice(StoreUse{reads, m_isRoot, m_peers.state()});
}

void DirectNode::onPeersAnswered(bool changed)
{
    m_hadCopies = hasCopies();
    updateStoreUse();
    updateUsageRoute();
    if (!changed) {
        notifyFollowers();
        return;
    }
    m_relay.onCopyChanged();
    announceReady();
}

SharedCollection DirectNode::shared(Collection &collection)
{
    return {collection.prefix, &collection.copy,
            [this, apply = collection.apply](const CollectionChange &change) {
                (this->*apply)(change);
            }};
}

PeerFeedCallbacks DirectNode::peerCallbacks()
{
    PeerFeedCallbacks callbacks = m_callbacks.peers;
    callbacks.ended = [this](const QueryReport &end) { notice(PeerQueryEnded{end}); };
    return callbacks;
}

PeerFeedHandlers DirectNode::peerHandlers()
{
    return {[this](PeerState state) { onPeerState(state); },
            [this](bool changed) { onPeersAnswered(changed); }};
}

ViewRelay::Callbacks DirectNode::relayCallbacks()
{
    ViewRelay::Callbacks callbacks;
    callbacks.now = m_callbacks.feed.now;
    callbacks.after = m_callbacks.feed.after;
    callbacks.lineage = [this] { return lineage(); };
    callbacks.isRoot = [this](const Endpoint &daemon) {
        return std::find(m_roots.begin(), m_roots.end(), daemon) != m_roots.end();
    };
    callbacks.fresher = [this](const Endpoint &fresher) { m_peers.trySource(fresher); };
    callbacks.overflow = [this](const FollowerOverflow &turning) { notice(turning); };
    return callbacks;
}

Lineage DirectNode::lineage() const
{
    const PeerState state = m_peers.state();
    const bool lost = !storeConnected() && state == PeerState::Lost;
    // An empty daemon isn't cut off as long as a daemon upstream of it polls the store; a root does
    // so itself.
    const bool alone = lost && (hasCopies() || !(m_isRoot || m_peers.originAlive()));
    Lineage lineage;
    // A root that the store refuses may get its copies from another daemon.
    if (!storeConnected() && (!m_isRoot || state == PeerState::Fresh) && !alone)
        lineage = m_peers.lineage();
    // A root is an origin also while the store is unreachable, as it goes on trying. Where it
    // reaches no other daemon either, followers should find another source.
    if ((m_isRoot || storeConnected()) && !alone) {
        lineage.origin = m_identity.address;
        lineage.heartbeat = static_cast<std::uint64_t>(m_callbacks.feed.now().time_since_epoch()
                                                       / HeartbeatInterval);
    }
    lineage.path.insert(lineage.path.begin(), m_identity.address);
    return lineage;
}

// Answers waiting followers at once when the copies are confirmed or the origin heartbeat advances,
// so that their copies are hardly older than these. The minimum steps keep two daemons that query
// each other from answering each other endlessly.
void DirectNode::notifyFollowers()
{
    const auto age = viewAge();
    const TimePoint confirmed = age ? m_callbacks.feed.now() - *age : m_notifiedConfirmedAt;
    const TimePoint heard = m_peers.heartbeatAt().value_or(m_notifiedHeartbeatAt);
    const bool newlyConfirmed = confirmed - m_notifiedConfirmedAt >= MinConfirmationStep;
    const bool heartbeat = heard - m_notifiedHeartbeatAt >= MinHeartbeatAdvance * HeartbeatInterval;
    if (!newlyConfirmed && !heartbeat)
        return;
    m_notifiedConfirmedAt = confirmed;
    m_notifiedHeartbeatAt = heard;
    m_relay.onCopyChanged();
}

// The random delay prevents a thundering herd at the store: hundreds of daemons lose the same peer
// at the same moment. Where a collection is empty, callers wait.
void DirectNode::startStoreLater(Collection &collection)
{
    if (collection.store.running() || collection.startScheduled)
        return;
    if (!collection.copy.complete()) {
        collection.store.start(true);
        return;
    }
    using Draw = boost::random::uniform_int_distribution<Duration::rep>;
    const Duration most = m_peers.state() == PeerState::Lost ? LostJitter : StaleJitter;
    const Duration wait{Draw{0, most.count()}(m_random)};
    collection.startScheduled = true;
    m_callbacks.feed.after(wait, [this, &collection, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        collection.startScheduled = false;
        if (!m_isRoot && !collection.store.running() && needsStore())
            collection.store.start(true);
        noticeStoreUse();
    });
}

void DirectNode::refuse(const std::string &key, DirectoryFinding finding, bool replaces)
{
    std::string text = finding.place + ": " + finding.text;
    const auto [known, isNew] = m_refused.try_emplace(key, text);
    if (!isNew && known->second == text)
        return;
    known->second = std::move(text);
    notice(ObjectRefused{std::move(finding), replaces});
}

} // namespace baobabtrail
