#include "core/direct/direct_node.h"

#include "core/directory/keys.h"
#include "core/impl/hash.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

constexpr Duration ExpirePeriod = 1s;
/// Maximum age of a view on which a flow to an unserved address is reset: less than the three
/// seconds within which a new route has to take effect. A view is normally confirmed every 1.5 s at
/// a root, and its followers learn of that within a second.
constexpr Duration FreshFor = 2900ms;
/// Interval of serveHeld(), short compared with the latency that any route promises.
constexpr Duration ServeHeldPeriod = 10ms;
/// Length of one watch for evacuations. It may be long: a change ends it at once, keep-alive probes
/// detect a dead connection within three seconds, and the watches of the other collections detect
/// that the store was away or has dropped its watches.
constexpr Duration EvacuationsWatch = 30s;

[[nodiscard]] StoreFeedSettings feedSettings(StoreFeedSettings settings,
                                             Confirmation confirmation) noexcept
{
    if (confirmation == Confirmation::ByWatch)
        settings.watchWait = std::max(settings.watchWait, EvacuationsWatch);
    return settings;
}

/// \return A number that differs at each start, also where the seed is the same. Not drawn from the
/// random numbers of the node, on which its choices depend.
[[nodiscard]] std::uint64_t incarnationOf(std::uint64_t seed, TimePoint now) noexcept
{
    return impl::hashPair(seed, static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

} // namespace

DirectNode::Collection::Collection(DirectNode &node, std::string_view shortName,
                                   std::string_view keyPrefix, Apply applyChange,
                                   Confirmation confirmation)
    : name(shortName)
    , prefix(keyPrefix)
    , apply(applyChange)
    , copy(confirmation)
    , store(
          prefix, feedSettings(node.m_settings.store, confirmation), node.m_callbacks.feed,
          node.m_random, node.m_storeRetry, copy,
          [this, &node](const CollectionChange &change) {
              (node.*apply)(change);
              node.m_relay.onCopyChanged();
              node.announceReady();
          },
          [this, &node](const StoreCallResult &end) { node.onStoreContact(*this, end); })
{
    node.m_relay.add(prefix, copy);
}

DirectNode::DirectNode(PeerIdentity identity, DirectNodeSettings settings,
                       DirectCallbacks callbacks, std::uint64_t seed)
    : m_identity(std::move(identity))
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_random(seed)
    , m_router(m_identity.domain, settings.flows, m_random, m_callbacks.observer)
    , m_held(settings.flows.overload.maxHeldBytes)
    , m_relay(m_identity.domain, settings.relay, relayCallbacks())
    , m_storeRetry(settings.store.lowRateInterval, {m_callbacks.feed.now, m_callbacks.feed.after},
                   m_random)
    , m_routes(*this, "routes", RoutesPrefix, &DirectNode::applyRoutes)
    , m_targets(*this, "targets", TargetsPrefix, &DirectNode::applyTargets)
    , m_evacuations(*this, "evacuations", EvacuationsPrefix, &DirectNode::applyEvacuations,
                    Confirmation::ByWatch)
    , m_peers(m_settings.peers, m_identity, peerCallbacks(), m_random,
              {shared(m_routes), shared(m_targets), shared(m_evacuations)}, peerHandlers())
    , m_usage(m_settings.usage, usageCallbacks(), incarnationOf(seed, m_callbacks.feed.now()))
    , m_reporter(incarnationOf(seed, m_callbacks.feed.now()))
    , m_evidence(m_settings.evidence, evidenceCallbacks(), m_identity.domain, m_reporter)
{
    m_router.setProbing(static_cast<bool>(m_callbacks.probe));
}

DirectNode::~DirectNode() = default;

void DirectNode::start(const std::vector<Endpoint> &roots)
{
    setRoots(roots);
    expirePeriodically();
    if (m_callbacks.sendUsage)
        m_usage.start();
    startEvidence();
}

void DirectNode::setRoots(const std::vector<Endpoint> &roots)
{
    m_roots = roots;
    const bool named = std::find(roots.begin(), roots.end(), m_identity.address) != roots.end();
    m_isRoot = roots.empty() || named;
    m_router.setColdOwners(roots.size(), named, m_callbacks.feed.now());
    startFeeds();
}

// The calls to the store that run are repeated, not stopped: only a source that answers can take
// their place, and none has done so yet.
void DirectNode::startFeeds()
{
    for (Collection *collection : all()) {
        if (m_isRoot)
            collection->store.start();
        else if (collection->store.running())
            collection->store.start(true);
    }
    if (!m_roots.empty())
        m_peers.start(m_roots);
    updateStoreUse();
    updateUsageRoute();
}

void DirectNode::stopStore(Collection &collection)
{
    collection.store.stop();
    collection.storeConnected = false;
}

void DirectNode::expirePeriodically()
{
    m_callbacks.feed.after(ExpirePeriod, [this, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        m_router.expire(m_callbacks.feed.now(),
                        {m_targets.copy.confirmedAt(), m_targets.copy.storeReturnedAt()});
        settleClaims(); // A lapsed owner may have been declared gone.
        startProbes();
        m_relay.expire();
        refreshUsage();
        refreshEvidence();
        finishHeld();
        expirePeriodically();
    });
}

std::optional<SegmentVerdict> DirectNode::handle(const Segment &segment, std::string_view payload)
{
    if (!ready()) {
        if (!m_settings.flows.mechanisms.has(Mechanism::WaitForView))
            return DropSegment{};
        if (!m_waiting.push(segment, payload, m_callbacks.feed.now()))
            notice(WaitingQueueFull{m_waiting.size()});
        return std::nullopt;
    }
    if (segment.opens)
        m_router.setFresh(fresh());
    return route(segment, payload);
}

std::optional<SegmentVerdict> DirectNode::route(const Segment &segment, std::string_view payload)
{
    const TimePoint now = m_callbacks.feed.now();
    SegmentVerdict verdict = m_router.route(segment, now);
    if (std::holds_alternative<HoldSegment>(verdict) && !m_held.push(segment, payload)) {
        m_router.cancelHold(segment.flow, now);
        finishHeld();
        verdict = m_router.route(segment, now);
    }
    startProbes();
    finishHeld();
    if (!std::holds_alternative<HoldSegment>(verdict))
        return verdict;
    scheduleServeHeld();
    return std::nullopt;
}

void DirectNode::startProbes()
{
    for (const ProbeRequest &probe : m_router.takeProbes(m_callbacks.feed.now())) {
        m_callbacks.probe(probe.address,
                          [this, probe, alive = std::weak_ptr{m_alive}](ProbeOutcome outcome) {
                              if (alive.expired())
                                  return;
                              m_router.probed(probe, outcome, m_callbacks.feed.now());
                              startProbes();
                          });
    }
}

void DirectNode::finishHeld()
{
    // A request that is forwarded or dropped may make room for more.
    for (auto ends = m_router.takeHeldOutcomes(); !ends.empty();
         ends = m_router.takeHeldOutcomes()) {
        for (const HeldRequestOutcome &end : ends)
            finishHeld(end);
    }
}

void DirectNode::finishHeld(const HeldRequestOutcome &end)
{
    for (const HeldSegments::Held &held : m_held.take(end.flow)) {
        if (!end.shouldForward)
            continue;
        const SegmentVerdict verdict = m_router.route(held.segment, m_callbacks.feed.now());
        m_callbacks.applyVerdict(held.segment, held.payload, verdict);
    }
}

// Most held requests are forwarded when an answer of their target is acknowledged. The timer serves
// those that no answer will release, as the target fell silent or answers too late for them.
void DirectNode::scheduleServeHeld()
{
    if (std::exchange(m_serveHeldScheduled, true))
        return;
    m_callbacks.feed.after(ServeHeldPeriod, [this, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        m_serveHeldScheduled = false;
        m_router.serveHeld(m_callbacks.feed.now());
        finishHeld();
        if (m_router.gate().held() > 0)
            scheduleServeHeld();
    });
}

void DirectNode::handle(const PeerQuery &question, ViewRelay::Reply reply)
{
    m_relay.handle(question, std::move(reply));
}

void DirectNode::stopHolding()
{
    m_router.stopHolding(m_callbacks.feed.now());
    finishHeld();
}

void DirectNode::processStalled(Duration gap)
{
    notice(ProcessStalled{gap});
    m_usage.reset();
    for (Collection *collection : all()) {
        collection->copy.markUnconfirmed();
        collection->copy.storeFailed(m_callbacks.feed.now()); // The store may have been away.
    }
    startFeeds();
}

bool DirectNode::hasCopies() const noexcept
{
    const auto collections = all();
    return std::all_of(collections.begin(), collections.end(),
                       [](const Collection *each) { return each->copy.complete(); });
}

bool DirectNode::ready() const noexcept
{
    return hasCopies() && !m_router.routes().routes.empty();
}

void DirectNode::announceReady()
{
    if (m_announced || !ready())
        return;
    m_announced = true;
    m_router.setFresh(fresh());
    if (m_callbacks.ready)
        m_callbacks.ready();
    const TimePoint now = m_callbacks.feed.now();
    for (const WaitingSegments::Waiting &waiting : m_waiting.take(now)) {
        if (const auto verdict = route(waiting.segment, waiting.payload))
            m_callbacks.applyVerdict(waiting.segment, waiting.payload, *verdict);
    }
}

std::optional<Duration> DirectNode::ageOf(const Collection &collection) const
{
    const auto confirmed = collection.copy.confirmedAt();
    return confirmed ? std::optional{m_callbacks.feed.now() - *confirmed} : std::nullopt;
}

std::vector<DirectNode::CollectionStatus> DirectNode::collections() const
{
    std::vector<CollectionStatus> out;
    for (const Collection *each : all())
        out.push_back({each->name, each->copy.version(), each->copy.size(), ageOf(*each),
                       each->storeConnected});
    return out;
}

std::optional<Duration> DirectNode::viewAge() const
{
    const auto routes = ageOf(m_routes);
    const auto targets = ageOf(m_targets);
    if (!routes || !targets)
        return std::nullopt;
    return std::max(*routes, *targets);
}

std::optional<Duration> DirectNode::sinceStoreReturn() const
{
    const auto returned = m_targets.copy.storeReturnedAt();
    return returned ? std::optional{m_callbacks.feed.now() - *returned} : std::nullopt;
}

bool DirectNode::fresh() const
{
    const auto age = viewAge();
    return ready() && age && *age <= FreshFor;
}

ObjectVersion DirectNode::version() const noexcept
{
    return std::max(m_routes.copy.version(), m_targets.copy.version());
}

void DirectNode::notice(const NodeNotice &notice) const
{
    if (m_callbacks.onNotice)
        m_callbacks.onNotice(notice);
}

} // namespace baobabtrail
