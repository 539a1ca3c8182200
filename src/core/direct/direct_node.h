#pragma once

#include "core/direct/direct_router.h"
#include "core/direct/held_segments.h"
#include "core/direct/target_claims.h"
#include "core/direct/waiting_segments.h"
#include "core/directory/peer_feed.h"
#include "core/directory/store_feed.h"
#include "core/directory/view_relay.h"
#include "core/evidence/evidence_exchange.h"
#include "core/notice.h"
#include "core/random.h"
#include "core/usage/usage_exchange.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief An error in an object of the store, and its place there.
struct DirectoryFinding
{
    std::string place;
    std::string text;
};

/// \brief Parsers for objects of the store, whose format only the platform adapter knows.
struct DirectoryReader
{
    std::function<std::variant<RouteTable, DirectoryFinding>(const StoredObject &)> routes;
    std::function<std::variant<RegisteredTarget, DirectoryFinding>(const StoredObject &)> target;
    /// Id of the target that a key of the collection of targets names, or nothing.
    std::function<std::optional<TargetId>(const std::string &key)> targetId;
};

/// \brief New routes are in use.
struct RoutesInForce
{
    const RouteTable &routes;
    ObjectVersion version;
};
/// \brief An object of the store is invalid and is ignored.
struct ObjectRefused
{
    DirectoryFinding finding;
    bool replaces = false; ///< It replaces a valid registration of a target.
};
/// \brief The store has become unreachable, or is reachable again.
struct StoreContact
{
    std::string_view collection;
    bool lost = false;
    std::string why;             ///< Error text; empty where the store is back.
    std::optional<Duration> age; ///< Of the current copy.
};
/// \brief The daemon has begun to read the store itself, or leaves that to its peers from now on.
struct StoreUse
{
    bool reads = false;
    bool root = false;
    PeerState peers = PeerState::Fresh;
};
/// \brief The state of the other daemons, as sources of copies, has changed.
struct PeerContact
{
    PeerState state = PeerState::Fresh;
    Endpoint source;             ///< The daemon that answered last; null for none.
    std::optional<Duration> age; ///< Of the current view.
};
/// \brief A query to another daemon has ended.
struct PeerQueryEnded
{
    const QueryReport &end;
};
/// \brief The store has compacted the changes that a watch needs; the collection is listed again.
struct HistoryLost
{
    std::string_view collection;
    ObjectVersion version; ///< Of the current copy.
};
/// \brief The queue of segments that wait for the directory is full: the oldest was dropped, and
/// its caller retransmits it.
struct WaitingQueueFull
{
    std::size_t waiting = 0;
};
/// \brief The operator has evacuated a failure domain, or ended its evacuation.
struct DomainEvacuated
{
    std::string domain;
    bool ended = false;
    std::uint64_t openFlows = 0; ///< Of this daemon at the domain's targets; they stay.
    ObjectVersion version;
};
/// \brief The process stalled; the directory counts as out of date until it is confirmed again.
struct ProcessStalled
{
    Duration gap{0};
};
/// \brief The usage of all daemons has become known, or of many more or fewer ones than before, or
/// is unknown from now on.
struct UsageContact
{
    bool known = false;
    std::uint32_t daemons = 0; ///< Daemons that are part of the present view, or the last one.
    Duration age{0};           ///< Of the oldest part of it.
};
/// \brief An event at a DirectNode, for the log and the metrics.
using NodeNotice = std::variant<RoutesInForce, ObjectRefused, StoreContact, PeerContact,
                                HistoryLost, WaitingQueueFull, ProcessStalled, PeerQueryEnded,
                                FollowerOverflow, DomainEvacuated, UsageContact, StoreUse>;

/// \brief Callbacks through which a DirectNode reaches its environment.
struct DirectCallbacks
{
    StoreFeedCallbacks feed;
    PeerFeedCallbacks peers;
    DirectoryReader reader;
    DirectObserver observer;
    std::function<void(const NodeNotice &)> onNotice; ///< May be empty.
    /// Probes a target by a connection and reports the outcome once, asynchronously; empty where
    /// probes aren't available.
    std::function<void(const Endpoint &target, std::function<void(ProbeOutcome)>)> probe;
    /// Applies the verdict on a segment that had to wait.
    std::function<void(const Segment &, const std::string &payload, const SegmentVerdict &)>
        applyVerdict;
    std::function<void()> ready; ///< Called once the directory is complete; may be empty.
    /// Sends a usage report to another daemon; empty where there is no address for reports.
    std::function<void(const Endpoint &to, const UsageMessage &report)> sendUsage;
    /// Sends a report about targets to another daemon, at its address for usage reports; empty
    /// where there is none.
    std::function<void(const Endpoint &to, const EvidenceMessage &message)> sendEvidence;
    /// \return Where a peer sends and receives usage reports; empty where that is at its address.
    std::function<Endpoint(const Endpoint &peer)> usageAddressOf;
};

/// \brief Settings of a DirectNode.
struct DirectNodeSettings
{
    DirectSettings flows;
    StoreFeedSettings store;
    PeerFeedSettings peers;
    RelaySettings relay;
    UsageExchangeSettings usage;
    EvidenceSettings evidence;
};

/// \brief The logic of a daemon whose targets answer callers directly (direct server return): keeps
/// the directory up to date from the store or from peers, and decides where each segment goes.
///
/// \code
/// DirectNode node{{address, "alx-raml"}, settings, callbacks, seed};
/// node.start(roots);
/// const std::optional<SegmentVerdict> verdict = node.handle(segment, payload);
/// \endcode
class DirectNode
{
public:
    /// \param identity Failure domain of this daemon, and the address at which it answers others.
    /// \param seed Seed of all random choices.
    DirectNode(PeerIdentity identity, DirectNodeSettings settings, DirectCallbacks callbacks,
               std::uint64_t seed);
    ~DirectNode();
    DirectNode(const DirectNode &) = delete;
    DirectNode &operator=(const DirectNode &) = delete;

    /// \param roots Daemons that watch the store; the others get their copies from them. Where the
    /// list is empty or names this daemon, this daemon watches the store itself.
    void start(const std::vector<Endpoint> &roots);
    /// \brief Replaces the list of roots. \see start
    void setRoots(const std::vector<Endpoint> &roots);
    /// \brief Decides on a segment from a caller.
    /// \param payload Passed to the callback \a applyVerdict where the segment has to wait.
    /// \return The verdict; nothing where the segment waits for the directory or its target.
    [[nodiscard]] std::optional<SegmentVerdict> handle(const Segment &segment,
                                                       std::string_view payload);
    /// \brief Answers the query of another daemon.
    /// \param reply Called once, immediately or later.
    void handle(const PeerQuery &question, ViewRelay::Reply reply);

    /// \return This daemon's usage since the last call. \see DirectRouter::takeUsage
    [[nodiscard]] UsageTable takeUsage();
    /// \brief Places new flows by the usage of all daemons. \see DirectRouter::applyUsage
    void applyUsage(const UsageView *view);

    /// \brief Handles a usage report of another daemon.
    /// \param from The address of \a usageAddressOf.
    /// \param receivedAt When it reached this VM.
    void handle(const Endpoint &from, const UsageMessage &report, TimePoint receivedAt);
    [[nodiscard]] const UsageExchange &usage() const noexcept { return m_usage; }
    /// \brief Handles what another daemon reports about targets.
    /// \param from The address of \a usageAddressOf.
    /// \param receivedAt When it reached this VM.
    void handle(const Endpoint &from, const EvidenceMessage &message, TimePoint receivedAt);
    [[nodiscard]] const EvidenceExchange &evidence() const noexcept { return m_evidence; }

    /// \brief Forwards all held requests and holds none from now on; to be called before the
    /// process ends.
    void stopHolding();

    /// \brief The process stalled.
    /// \param gap Length of the stall, by a clock that goes on meanwhile.
    void processStalled(Duration gap);

    /// \return Whether the directory is complete, so that traffic can be accepted.
    [[nodiscard]] bool ready() const noexcept;
    /// \return Age of the older one of the copies of routes and targets; nothing before the store
    /// has confirmed both.
    [[nodiscard]] std::optional<Duration> viewAge() const;
    [[nodiscard]] bool fresh() const;
    /// \return Time since the end of the store's last outage, as the collection of targets has it;
    /// nothing where no outage was seen.
    [[nodiscard]] std::optional<Duration> sinceStoreReturn() const;
    /// \brief Status of the copy of one collection.
    struct CollectionStatus
    {
        std::string_view name;
        ObjectVersion version;
        std::size_t objects = 0;
        std::optional<Duration> age; ///< Time since the store confirmed it.
        bool storeConnected = false; ///< This daemon reads the store, and it answers.
    };
    [[nodiscard]] std::vector<CollectionStatus> collections() const;
    [[nodiscard]] bool isRoot() const noexcept { return m_isRoot; }
    /// \return Whether this daemon calls the store itself, for any of its copies.
    [[nodiscard]] bool readsStore() const noexcept;
    [[nodiscard]] const std::vector<Endpoint> &roots() const noexcept { return m_roots; }
    [[nodiscard]] const DirectRouter &router() const noexcept { return m_router; }
    /// \return Number of segments that wait for the directory.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// \return Payload bytes of held requests.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_held.bytes(); }
    [[nodiscard]] const ViewRelay &relay() const noexcept { return m_relay; }
    [[nodiscard]] const PeerFeed &peers() const noexcept { return m_peers; }
    [[nodiscard]] ObjectVersion version() const noexcept;

private:
    /// \brief A collection's copy and the feed that keeps it up to date from the store.
    struct Collection
    {
        using Apply = void (DirectNode::*)(const CollectionChange &);
        Collection(DirectNode &node, std::string_view shortName, std::string_view prefix,
                   Apply apply, Confirmation confirmation = Confirmation::ByAge);

        std::string_view name;
        std::string prefix;
        Apply apply;
        CollectionCopy copy;
        StoreFeed store;
        bool storeLost = false;
        bool storeConnected = false; ///< This daemon reads the store, and it answers.
        bool startScheduled = false; ///< The timer of startStoreLater() runs.
    };

    [[nodiscard]] std::optional<SegmentVerdict> route(const Segment &segment,
                                                      std::string_view payload);
    void finishHeld();
    void finishHeld(const HeldRequestOutcome &end);
    void startProbes();
    void scheduleServeHeld();
    /// \brief Restarts the feeds: from the store where this daemon is a root, and from its peers.
    void startFeeds();
    static void stopStore(Collection &collection);
    [[nodiscard]] SharedCollection shared(Collection &collection);
    void applyRoutes(const CollectionChange &change);
    void applyTargets(const CollectionChange &change);
    void applyEvacuations(const CollectionChange &change);
    void onStoreContact(Collection &collection, const StoreCallResult &end);
    void onPeerState(PeerState state);
    /// \brief The peers have answered a query. \param changed Whether a copy has changed.
    void onPeersAnswered(bool changed);
    void notifyFollowers();
    [[nodiscard]] ViewRelay::Callbacks relayCallbacks();
    [[nodiscard]] PeerFeedCallbacks peerCallbacks();
    [[nodiscard]] PeerFeedHandlers peerHandlers();
    [[nodiscard]] bool hasCopies() const noexcept;
    [[nodiscard]] bool storeConnected() const noexcept
    {
        return m_routes.storeConnected && m_targets.storeConnected;
    }
    [[nodiscard]] Lineage lineage() const;
    /// \brief Starts and stops the calls to the store of a daemon that isn't a root, by what is
    /// known of its peers now; to be called after each event that may change that.
    void updateStoreUse();
    /// \return Whether the search for a source has found none that keeps the copies up to date.
    [[nodiscard]] bool needsStore() const noexcept;
    void startStoreLater(Collection &collection);
    /// \brief Reports whether this daemon reads the store, if that has changed.
    void noticeStoreUse();
    void announceReady();
    [[nodiscard]] UsageExchangeCallbacks usageCallbacks();
    [[nodiscard]] bool isBusy(const UsageTable &usage);
    [[nodiscard]] Endpoint usageAddressOf(const Endpoint &peer) const;
    /// \brief Tells the usage exchange this daemon's place in the tree.
    void updateUsageRoute();
    void onUsageChanged(const UsageView *view);
    [[nodiscard]] EvidenceCallbacks evidenceCallbacks();
    void startEvidence();
    /// \brief Ends reports about targets by their age, and takes this daemon's share of the probes.
    void refreshEvidence();
    /// \brief Applies the view again, so that plans of a view that got too old end.
    void refreshUsage();
    /// \return The target whose id the registration of that key owns; null where there is none.
    [[nodiscard]] const DirectTarget *ownedBy(const std::string &key) const;
    /// \brief Puts a readable registration into use, or lets it wait. \see TargetClaims
    void claim(const std::string &key, RegisteredTarget target, TimePoint now);
    /// \brief Gives each contested id to the registration that ranks first; to be called after each
    /// change that may decide otherwise.
    void settleClaims();
    [[nodiscard]] std::vector<std::string_view> undisputedNames() const;
    [[nodiscard]] bool takesOver(const RegisteredTarget &target, const DirectTarget *owner) const;
    void use(const RegisteredTarget &target, TimePoint now);
    /// \param waits The registration is readable and may be used later.
    void refuseTarget(const std::string &key, DirectoryFinding finding, bool waits = false);
    void refuse(const std::string &key, DirectoryFinding finding, bool replaces);
    void notice(const NodeNotice &notice) const;
    void expirePeriodically();
    [[nodiscard]] std::optional<Duration> ageOf(const Collection &collection) const;
    [[nodiscard]] std::array<Collection *, 3> all() noexcept
    {
        return {&m_routes, &m_targets, &m_evacuations};
    }
    [[nodiscard]] std::array<const Collection *, 3> all() const noexcept
    {
        return {&m_routes, &m_targets, &m_evacuations};
    }

    PeerIdentity m_identity;
    DirectNodeSettings m_settings;
    DirectCallbacks m_callbacks;
    Random m_random;
    DirectRouter m_router;
    WaitingSegments m_waiting;
    HeldSegments m_held;
    bool m_serveHeldScheduled = false; ///< Whether the timer for serveHeld() runs.
    ViewRelay m_relay;
    StoreRetry m_storeRetry;
    Collection m_routes;
    Collection m_targets;
    Collection m_evacuations;
    PeerFeed m_peers;
    UsageExchange m_usage;
    ReporterId m_reporter; ///< Of this daemon.
    EvidenceExchange m_evidence;
    UsageContact m_usageContact; ///< Last noticed.
    /// Slots of services with work, by failure domain; dropped each second. Counting them for each
    /// report would cost too much.
    std::map<ServiceId, std::map<std::string, DomainCapacity>> m_slots;
    UsageContact m_lastUsage; ///< Of the present view, or the last one.
    TimePoint m_usageMeasuredAt{};
    TimePoint m_notifiedConfirmedAt{}; ///< Confirmation last reported to followers.
    /// Origin heartbeat last reported to followers, which matters while the copies are stale.
    TimePoint m_notifiedHeartbeatAt{};
    bool m_hadCopies = false;
    /// Last error reported for each invalid object, by key; its writer may write it again and
    /// again.
    std::map<std::string, std::string> m_refused;
    TargetClaims m_claims{
        [this](ServiceId service) { return m_router.routes().serviceNames.contains(service); }};
    std::vector<Endpoint> m_roots;
    bool m_isRoot = true;
    bool m_readsStore = false; ///< As last noticed.
    bool m_announced = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
