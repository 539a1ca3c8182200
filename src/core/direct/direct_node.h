#pragma once

#include "core/direct/direct_router.h"
#include "core/direct/held_segments.h"
#include "core/direct/waiting_segments.h"
#include "core/directory/peer_feed.h"
#include "core/directory/store_feed.h"
#include "core/directory/view_relay.h"
#include "core/notice.h"
#include "core/random.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief What is wrong with an object of the store, and where.
struct DirectoryFinding
{
    std::string place;
    std::string text;
};

/// \brief Reads objects of the store; what they look like there is the platform adapter's matter.
struct DirectoryReader
{
    std::function<std::variant<RouteTable, DirectoryFinding>(const StoredObject &)> routes;
    std::function<std::variant<RegisteredTarget, DirectoryFinding>(const StoredObject &)> target;
    /// The target that a key of the targets' collection names, or nothing.
    std::function<std::optional<TargetId>(const std::string &key)> targetId;
};

/// \brief A change of what a DirectNode knows, for the log and the counters.
struct RoutesInForce
{
    const RouteTable &routes;
    ObjectVersion version;
};
struct ObjectRefused
{
    DirectoryFinding finding;
    bool replaces = false; ///< It took the place of an entry that named a target to use.
};
/// \brief The store was lost or is back.
struct StoreContact
{
    std::string_view collection;
    bool lost = false;
    std::string why;             ///< Empty where it is back.
    std::optional<Duration> age; ///< Of the copy in force.
};
/// \brief What other daemons are good for has changed.
struct PeerContact
{
    PeerState state = PeerState::Fresh;
    Endpoint source;             ///< The one that answered last; null for none.
    std::optional<Duration> age; ///< Of the view in force.
};
/// \brief A question to another daemon has ended.
struct PeerQueryEnded
{
    const QueryReport &end;
};
/// \brief The store has dropped the changes that a watch waited for; everything is listed anew.
struct HistoryLost
{
    std::string_view collection;
    ObjectVersion version; ///< Of the copy in force.
};
/// \brief A segment that waits for the directory was dropped for a newer one; its caller sends it
/// again.
struct WaitingQueueFull
{
    std::size_t waiting = 0;
};
/// \brief The operator asks that a failure domain gets no new flows, or no longer asks so.
struct DomainEvacuated
{
    std::string domain;
    bool ended = false;
    std::uint64_t openFlows = 0; ///< Of this daemon, at the domain's targets; they stay.
    ObjectVersion version;
};
/// \brief The process stood still; the directory counts as out of date until it is read again.
struct ProcessStalled
{
    Duration gap{0};
};
using NodeNotice = std::variant<RoutesInForce, ObjectRefused, StoreContact, PeerContact,
                                HistoryLost, WaitingQueueFull, ProcessStalled, PeerQueryEnded,
                                FollowerOverflow, DomainEvacuated>;

/// \brief What a DirectNode needs of its surroundings.
struct DirectCallbacks
{
    StoreFeedCallbacks feed;
    PeerFeedCallbacks peers;
    DirectoryReader reader;
    DirectObserver observer;
    std::function<void(const NodeNotice &)> onNotice; ///< May be empty.
    /// Tries a connection to a target and tells the outcome once, later; empty where that can't be
    /// done.
    std::function<void(const Endpoint &target, std::function<void(ProbeOutcome)>)> probe;
    /// Carries out the verdict on a segment that had to wait.
    std::function<void(const Segment &, const std::string &payload, const SegmentVerdict &)>
        applyVerdict;
    std::function<void()> ready; ///< Called once, when the directory is complete; may be empty.
};

/// \brief Settings of a DirectNode.
struct DirectNodeSettings
{
    DirectSettings flows;
    StoreFeedSettings store;
    PeerFeedSettings peers;
    RelaySettings relay;
};

/// \brief All decisions of one daemon whose targets answer callers directly: the directory that it
/// keeps from the store, and where each segment goes.
///
/// \code
/// DirectNode node{{address, "alx-raml"}, settings, ports, seed};
/// node.start(roots);
/// const SegmentVerdict verdict = node.handle(segment);
/// \endcode
class DirectNode
{
public:
    /// \param identity Failure domain of this daemon, and where it answers others.
    /// \param seed Seed of every random choice.
    DirectNode(PeerIdentity identity, DirectNodeSettings settings, DirectCallbacks ports,
               std::uint64_t seed);
    ~DirectNode();
    DirectNode(const DirectNode &) = delete;
    DirectNode &operator=(const DirectNode &) = delete;

    /// \param roots Daemons that watch the store; the others have their copies from these. With
    /// none, or as one of them, this daemon watches the store itself.
    void start(const std::vector<Endpoint> &roots);
    /// \brief Other daemons are the roots from now on.
    void setRoots(const std::vector<Endpoint> &roots);
    /// \param payload Handed to the port \a carry with the segment, should that have to wait.
    /// \return What to do now; nothing where the segment waits for the directory or its target.
    [[nodiscard]] std::optional<SegmentVerdict> handle(const Segment &segment,
                                                       std::string_view payload);
    /// \brief Answers another daemon. \param reply Called once, at once or later.
    void handle(const PeerQuery &question, ViewRelay::Reply reply);

    /// \brief The process is about to end: what is held goes on, and nothing is held any more.
    void stopHolding();

    /// \brief The process stood still for so long, by a clock that does not.
    void processStalled(Duration gap);

    /// \return Whether a complete directory is in force, so that traffic can be taken.
    [[nodiscard]] bool ready() const noexcept;
    /// \return Age of the older one of routes and targets; nothing before both are there.
    [[nodiscard]] std::optional<Duration> viewAge() const;
    [[nodiscard]] bool fresh() const;
    /// \return Since the store came back from being away, as targets know it; nothing where it was
    /// never seen to be.
    [[nodiscard]] std::optional<Duration> sinceStoreReturn() const;
    /// \brief How one collection stands.
    struct CollectionStatus
    {
        std::string_view name;
        ObjectVersion version;
        std::size_t objects = 0;
        std::optional<Duration> age; ///< Since the store confirmed it.
        bool storeConnected = false; ///< The store answers, and this daemon asks it.
    };
    [[nodiscard]] std::vector<CollectionStatus> collections() const;
    [[nodiscard]] bool isRoot() const noexcept { return m_isRoot; }
    [[nodiscard]] const std::vector<Endpoint> &roots() const noexcept { return m_roots; }
    [[nodiscard]] const DirectRouter &router() const noexcept { return m_router; }
    /// \return Segments that wait for the directory.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    /// \return Bytes of requests that wait for their targets.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_held.bytes(); }
    [[nodiscard]] const ViewRelay &relay() const noexcept { return m_relay; }
    [[nodiscard]] const PeerFeed &peers() const noexcept { return m_peers; }
    [[nodiscard]] ObjectVersion version() const noexcept;

private:
    /// \brief One collection: the copy, and how it is kept up to date from the store.
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
        bool storeConnected = false; ///< The store answers, and this daemon asks it.
    };

    [[nodiscard]] std::optional<SegmentVerdict> route(const Segment &segment,
                                                      std::string_view payload);
    void finishHeld();
    void finishHeld(const HeldRequestOutcome &end);
    void startProbes();
    void scheduleServeHeld();
    /// \brief Begins anew with the store, where this daemon is a root, and with its peers.
    void startFeeds();
    static void stopStore(Collection &collection);
    [[nodiscard]] SharedCollection shared(Collection &collection);
    void applyRoutes(const CollectionChange &change);
    void applyTargets(const CollectionChange &change);
    void applyEvacuations(const CollectionChange &change);
    void onStoreContact(Collection &collection, const StoreCallResult &end);
    void onPeerState(PeerState state);
    /// \brief The peers have answered for the copies.
    void onPeersAnswered(bool changed);
    void notifyFollowers();
    [[nodiscard]] ViewRelay::Callbacks relayPorts();
    [[nodiscard]] PeerFeedCallbacks peerPorts();
    [[nodiscard]] PeerFeedHandlers peerHandlers();
    [[nodiscard]] bool hasCopies() const noexcept;
    [[nodiscard]] bool storeConnected() const noexcept
    {
        return m_routes.storeConnected && m_targets.storeConnected;
    }
    [[nodiscard]] Lineage lineage() const;
    void startStoreLater(Collection &collection, Duration most);
    void announceReady();
    void refuseTarget(const std::string &key, DirectoryFinding finding);
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
    bool m_serveHeldScheduled = false; ///< A look at what is held is due.
    ViewRelay m_relay;
    Collection m_routes;
    Collection m_targets;
    Collection m_evacuations;
    PeerFeed m_peers;
    TimePoint m_notifiedConfirmedAt{}; ///< Confirmation that followers have been told of.
    TimePoint
        m_notifiedHeartbeatAt{}; ///< Pulse that they have been told of while the copies were stale.
    bool m_hadCopies = false;
    /// What was last said of each object that can't be read: its writer goes on writing it.
    std::map<std::string, std::string> m_refused;
    std::vector<Endpoint> m_roots;
    bool m_isRoot = true;
    bool m_announced = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
