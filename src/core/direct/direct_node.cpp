#include "core/direct/direct_node.h"

#include "core/directory/keys.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

constexpr Duration ExpirePeriod = 1s;
/// Age up to which a view is ground for telling a caller that nobody serves an address: less than
/// the three seconds after which a new route has to be in force. A view is usually confirmed
/// each 1.5 s at a root, and its followers hear of that within a second.
constexpr Duration FreshFor = 2900ms;
/// When no daemon answers any more, all that are left ask the store within this time.
constexpr Duration LostSpread = 200ms;
/// When the others answer that the store is away, each looks for itself within this time, in case
/// that it is away for them alone.
constexpr Duration StaleSpread = 400ms;
/// Between two looks at requests that are held: short beside the latency that any route promises.
constexpr Duration ServeHeldPeriod = 10ms;
/// One watch for evacuations. It may be long: a change ends it at once, probes notice within three
/// seconds that its connection has gone silent, and the watches of the other collections that the
/// store was away or has dropped its watches.
constexpr Duration EvacuationsWatch = 30s;
/// A confirmation that is younger by less than this is no news to followers.
constexpr Duration LeastNewsOfAge = 200ms;

[[nodiscard]] FeedSettings feedSettings(FeedSettings settings, Vouching vouching) noexcept
{
    if (vouching == Vouching::Watched)
        settings.watchWait = std::max(settings.watchWait, EvacuationsWatch);
    return settings;
}

} // namespace

DirectNode::Collection::Collection(DirectNode &node, std::string_view shortName,
                                   std::string_view keyPrefix, Take takeChange, Vouching vouching)
    : name(shortName)
    , prefix(keyPrefix)
    , take(takeChange)
    , copy(vouching)
    , store(
          prefix, feedSettings(node.m_settings.store, vouching), node.m_ports.feed, node.m_random,
          copy,
          [this, &node](const CollectionChange &change) {
              (node.*take)(change);
              node.m_relay.changed();
              node.announceReady();
          },
          [this, &node](const FeedContact &end) { node.storeContact(*this, end); })
{
    node.m_relay.add(prefix, copy);
}

DirectNode::DirectNode(PeerIdentity identity, DirectNodeSettings settings, DirectPorts ports,
                       std::uint64_t seed)
    : m_identity(std::move(identity))
    , m_settings(settings)
    , m_ports(std::move(ports))
    , m_random(seed)
    , m_router(m_identity.domain, settings.flows, m_random, m_ports.observer)
    , m_held(settings.flows.overload.mostHeldBytes)
    , m_relay(m_identity.domain, settings.relay, relayPorts())
    , m_routes(*this, "routes", RoutesPrefix, &DirectNode::takeRoutes)
    , m_targets(*this, "targets", TargetsPrefix, &DirectNode::takeTargets)
    , m_evacuations(*this, "evacuations", EvacuationsPrefix, &DirectNode::takeEvacuations,
                    Vouching::Watched)
    , m_peers(m_settings.peers, m_identity, peerPorts(), m_random,
              {shared(m_routes), shared(m_targets), shared(m_evacuations)}, peerHandlers())
{
    m_router.setProbing(static_cast<bool>(m_ports.probe));
}

DirectNode::~DirectNode() = default;

void DirectNode::start(const std::vector<Endpoint> &roots)
{
    setRoots(roots);
    expirePeriodically();
}

void DirectNode::setRoots(const std::vector<Endpoint> &roots)
{
    m_roots = roots;
    const bool named = std::find(roots.begin(), roots.end(), m_identity.address) != roots.end();
    m_isRoot = roots.empty() || named;
    m_router.setColdOwners(roots.size(), named, m_ports.feed.now());
    startFeeds();
}

void DirectNode::startFeeds()
{
    for (Collection *collection : all()) {
        if (m_isRoot)
            collection->store.start();
        else
            stopStore(*collection);
    }
    if (!m_roots.empty())
        m_peers.start(m_roots);
}

void DirectNode::stopStore(Collection &collection)
{
    collection.store.stop();
    collection.byStore = false;
}

void DirectNode::expirePeriodically()
{
    m_ports.feed.after(ExpirePeriod, [this, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        m_router.expire(m_ports.feed.now());
        startProbes();
        m_relay.expire();
        endHeld();
        expirePeriodically();
    });
}

std::optional<SegmentVerdict> DirectNode::handle(const Segment &segment, std::string_view payload)
{
    if (!ready()) {
        if (!m_settings.flows.mechanisms.has(Mechanism::WaitForView))
            return DropSegment{};
        if (!m_waiting.push(segment, payload, m_ports.feed.now()))
            notice(WaitingFull{m_waiting.size()});
        return std::nullopt;
    }
    if (segment.opens)
        m_router.setFresh(fresh());
    return route(segment, payload);
}

std::optional<SegmentVerdict> DirectNode::route(const Segment &segment, std::string_view payload)
{
    const TimePoint now = m_ports.feed.now();
    SegmentVerdict verdict = m_router.route(segment, now);
    if (std::holds_alternative<HoldSegment>(verdict) && !m_held.push(segment, payload)) {
        m_router.dontHold(segment.flow, now);
        endHeld();
        verdict = m_router.route(segment, now);
    }
    startProbes();
    endHeld();
    if (!std::holds_alternative<HoldSegment>(verdict))
        return verdict;
    serveHeldLater();
    return std::nullopt;
}

void DirectNode::startProbes()
{
    for (const ProbeRequest &probe : m_router.takeProbes()) {
        m_ports.probe(probe.address,
                      [this, probe, alive = std::weak_ptr{m_alive}](ProbeOutcome outcome) {
                          if (alive.expired())
                              return;
                          m_router.probed(probe, outcome, m_ports.feed.now());
                          startProbes();
                      });
    }
}

void DirectNode::endHeld()
{
    // What goes on may make room for more.
    for (auto ends = m_router.takeHeldEnds(); !ends.empty(); ends = m_router.takeHeldEnds()) {
        for (const HeldEnd &end : ends)
            endHeld(end);
    }
}

void DirectNode::endHeld(const HeldEnd &end)
{
    for (const HeldSegments::Held &held : m_held.take(end.flow)) {
        if (!end.goesOn)
            continue;
        const SegmentVerdict verdict = m_router.route(held.segment, m_ports.feed.now());
        m_ports.carry(held.segment, held.payload, verdict);
    }
}

// Most requests go on when an answer passes. This is for those that wait for nothing any more: the
// target fell silent, or its answers come too late for them.
void DirectNode::serveHeldLater()
{
    if (std::exchange(m_servesHeld, true))
        return;
    m_ports.feed.after(ServeHeldPeriod, [this, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        m_servesHeld = false;
        m_router.serveHeld(m_ports.feed.now());
        endHeld();
        if (m_router.gate().held() > 0)
            serveHeldLater();
    });
}

void DirectNode::handle(const PeerQuestion &question, ViewRelay::Reply reply)
{
    m_relay.ask(question, std::move(reply));
}

void DirectNode::stopHolding()
{
    m_router.stopHolding(m_ports.feed.now());
    endHeld();
}

void DirectNode::stoodStill(Duration gap)
{
    notice(StoodStill{gap});
    for (Collection *collection : all())
        collection->copy.doubt();
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
    if (m_ports.ready)
        m_ports.ready();
    const TimePoint now = m_ports.feed.now();
    for (const WaitingSegments::Waiting &waiting : m_waiting.take(now)) {
        if (const auto verdict = route(waiting.segment, waiting.payload))
            m_ports.carry(waiting.segment, waiting.payload, *verdict);
    }
}

std::optional<Duration> DirectNode::ageOf(const Collection &collection) const
{
    const auto confirmed = collection.copy.confirmedAt();
    return confirmed ? std::optional{m_ports.feed.now() - *confirmed} : std::nullopt;
}

std::vector<DirectNode::CollectionStatus> DirectNode::collections() const
{
    std::vector<CollectionStatus> out;
    for (const Collection *each : all())
        out.push_back(
            {each->name, each->copy.version(), each->copy.size(), ageOf(*each), each->byStore});
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

bool DirectNode::fresh() const
{
    const auto age = viewAge();
    return ready() && age && *age <= FreshFor;
}

ObjectVersion DirectNode::version() const noexcept
{
    return std::max(m_routes.copy.version(), m_targets.copy.version());
}

void DirectNode::takeRoutes(const CollectionChange &change)
{
    for (const StoredObject &object : change.written) {
        auto read = m_ports.reader.routes(object);
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
}

void DirectNode::takeTargets(const CollectionChange &change)
{
    const TimePoint now = m_ports.feed.now();
    for (const StoredObject &object : change.written) {
        const auto read = m_ports.reader.target(object);
        if (const auto *finding = std::get_if<DirectoryFinding>(&read)) {
            refuseTarget(object.key, *finding);
            continue;
        }
        m_refused.erase(object.key);
        m_router.putTarget(std::get<RegisteredTarget>(read), now);
    }
    for (const std::string &key : change.removed) {
        m_refused.erase(key);
        if (const auto target = m_ports.reader.targetId(key))
            m_router.removeTarget(*target, change.afterOutage, now);
    }
}

// The key says all: an entry that can't be read was still put there to empty the domain.
void DirectNode::takeEvacuations(const CollectionChange &change)
{
    const auto set = [&](const std::string &key, bool evacuated) {
        const std::string domain = key.substr(EvacuationsPrefix.size());
        if (m_router.setEvacuated(domain, evacuated, m_ports.feed.now()))
            notice(DomainEvacuated{domain, !evacuated, m_router.targets().openFlowsIn(domain),
                                   change.version});
    };
    for (const StoredObject &object : change.written)
        set(object.key, true);
    for (const std::string &key : change.removed)
        set(key, false);
}

void DirectNode::askForEvacuations()
{
    m_evacuations.store.askAnew();
}

void DirectNode::storeContact(Collection &collection, const FeedContact &end)
{
    if (end.historyGone)
        notice(HistoryLost{collection.name, collection.copy.version()});
    const bool lost = !end.failure.empty();
    if (&collection != &m_evacuations && (end.historyGone || (!lost && collection.storeLost)))
        askForEvacuations();
    collection.byStore = !lost;
    if (!lost && !end.historyGone) {
        tellFollowers();
        // A source that has no copy yet, or that the store refuses, and with it all that have their
        // copies from there, takes this daemon's once it is told of them.
        const bool first = hasCopies() && !std::exchange(m_hadCopies, hasCopies());
        const bool helps = byStore() && m_peers.state() == PeerState::Stale;
        if ((first || helps) && !m_roots.empty())
            m_peers.tellSource();
    }
    if (lost == collection.storeLost)
        return;
    collection.storeLost = lost;
    notice(StoreContact{collection.name, lost, end.failure, ageOf(collection)});
}

void DirectNode::peerContact(PeerState state)
{
    notice(PeerContact{state, m_peers.source(), viewAge()});
    if (m_isRoot) {
        // Those that wait at each other, as each is refused by the store, would hear much later.
        if (state == PeerState::Fresh)
            m_peers.tellRoots();
        return;
    }
    for (Collection *collection : all()) {
        if (state == PeerState::Fresh || state == PeerState::Waiting)
            stopStore(*collection);
        else if (!collection->copy.complete())
            collection->store.start(true); // Callers wait; nothing is there to go on with.
        else
            askStoreLater(*collection, state == PeerState::Lost ? LostSpread : StaleSpread);
    }
}

void DirectNode::peersAnswered(bool changed)
{
    m_hadCopies = hasCopies();
    if (!changed) {
        tellFollowers();
        return;
    }
    m_relay.changed();
    announceReady();
}

SharedCollection DirectNode::shared(Collection &collection)
{
    return {
        collection.prefix, &collection.copy,
        [this, take = collection.take](const CollectionChange &change) { (this->*take)(change); }};
}

PeerPorts DirectNode::peerPorts()
{
    PeerPorts ports = m_ports.peers;
    ports.ended = [this](const QuestionEnd &end) { notice(PeerAsked{end}); };
    return ports;
}

PeerHandlers DirectNode::peerHandlers()
{
    return {[this](PeerState state) { peerContact(state); },
            [this](bool changed) { peersAnswered(changed); }};
}

ViewRelay::Ports DirectNode::relayPorts()
{
    ViewRelay::Ports ports;
    ports.now = m_ports.feed.now;
    ports.after = m_ports.feed.after;
    ports.lineage = [this] { return lineage(); };
    ports.isRoot = [this](const Endpoint &daemon) {
        return std::find(m_roots.begin(), m_roots.end(), daemon) != m_roots.end();
    };
    ports.fresher = [this](const Endpoint &fresher) { m_peers.suggest(fresher); };
    ports.turnsAway = [this](const TurningAway &turning) { notice(turning); };
    return ports;
}

Lineage DirectNode::lineage() const
{
    const PeerState state = m_peers.state();
    const bool lost = !byStore() && state == PeerState::Lost;
    // One that has no copy yet is not alone as long as somebody on its way up looks after the
    // store; a root does so itself.
    const bool alone = lost && (hasCopies() || !(m_isRoot || m_peers.isLinked()));
    Lineage lineage;
    // A root that the store refuses may have its copy from another daemon.
    if (!byStore() && (!m_isRoot || state == PeerState::Fresh) && !alone)
        lineage = m_peers.lineage();
    // Also without the store a root looks after it, unless it hears nobody: then others had better
    // look elsewhere.
    if ((m_isRoot || byStore()) && !alone) {
        lineage.origin = m_identity.address;
        lineage.pulse
            = static_cast<std::uint64_t>(m_ports.feed.now().time_since_epoch() / PulseUnit);
    }
    lineage.path.insert(lineage.path.begin(), m_identity.address);
    return lineage;
}

// Followers that wait hear at once that the copies were confirmed, or that this daemon is linked:
// their own copies are then hardly older than these. Two daemons that ask each other don't go on
// for ever, since small steps are not told.
void DirectNode::tellFollowers()
{
    const auto age = viewAge();
    const TimePoint confirmed = age ? m_ports.feed.now() - *age : m_toldAt;
    const TimePoint heard = m_peers.heardAt().value_or(m_pulseAt);
    const bool confirmedAnew = confirmed - m_toldAt >= LeastNewsOfAge;
    const bool pulse = heard - m_pulseAt >= LeastNewsOfPulse * PulseUnit;
    if (!confirmedAnew && !pulse)
        return;
    m_toldAt = confirmed;
    m_pulseAt = heard;
    m_relay.changed();
}

// At a chance time: hundreds of daemons lose the same peer at the same moment, and all of their
// calls would reach the store at once.
void DirectNode::askStoreLater(Collection &collection, Duration most)
{
    using Draw = boost::random::uniform_int_distribution<Duration::rep>;
    const Duration wait{Draw{0, most.count()}(m_random)};
    m_ports.feed.after(wait, [this, &collection, alive = std::weak_ptr{m_alive}] {
        if (alive.expired() || m_isRoot || collection.store.running())
            return;
        const PeerState state = m_peers.state();
        if (state == PeerState::Stale || state == PeerState::Lost)
            collection.store.start(true);
    });
}

// An entry that can't be read names no target to use, also where its key named a good one before:
// whoever wrote it may have meant that target to go. Its open flows stay where they are.
void DirectNode::refuseTarget(const std::string &key, DirectoryFinding finding)
{
    const auto target = m_ports.reader.targetId(key);
    const bool replaces = target && m_router.targets().find(*target) != nullptr;
    if (replaces)
        m_router.refuseTarget(*target);
    refuse(key, std::move(finding), replaces);
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

void DirectNode::notice(const NodeNotice &notice) const
{
    if (m_ports.noticed)
        m_ports.noticed(notice);
}

} // namespace baobabtrail
