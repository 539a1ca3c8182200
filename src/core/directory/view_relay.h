#pragma once

#include "core/directory/patch_cache.h"
#include "core/directory/peer_view.h"
#include "core/directory/whole_copy.h"
#include "core/time.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace baobabtrail {

/// \brief Limits of a ViewRelay.
struct RelaySettings
{
    /// Follower slots; further daemons are redirected to the followers. Each follower costs an
    /// answer each 1.5 s, and a complete copy at its start.
    std::size_t maxFollowers = 4;
    /// Maximum time between two queries; then the slot is free.
    Duration followerTimeout = 3500ms;
    Duration maxWait = 5s; ///< Bound on the wait of a query, whatever it asks for.
    /// Age beyond which a copy is stale, so that a querying daemon with a fresher one is reported;
    /// as PeerFeedSettings::staleAfter.
    Duration staleAfter = 2200ms;
};

/// \brief A daemon begins or ends to redirect others because its follower slots are taken.
struct FollowerOverflow
{
    bool ended = false;
    std::uint64_t count = 0; ///< Daemons that were redirected meanwhile.
    Duration lasted{0};
    std::size_t followers = 0;
};

/// \brief Answers other daemons' queries from this daemon's copies of the store's collections, so
/// that only a few daemons have to query the store.
class ViewRelay
{
public:
    using Reply = std::function<void(PeerReply)>;
    /// \brief Clock, timers and event handlers of a ViewRelay.
    struct Callbacks
    {
        std::function<TimePoint()> now;
        std::function<void(Duration, std::function<void()>)> after;
        /// Lineage of this daemon's copies.
        std::function<Lineage()> lineage;
        std::function<bool(const Endpoint &daemon)> isRoot;
        /// Called when a daemon queries whose copies are fresher than these, which are stale or
        /// missing.
        std::function<void(const Endpoint &fresher)> fresher;
        std::function<void(const FollowerOverflow &)> overflow{}; ///< May be empty.
    };

    ViewRelay(std::string domain, RelaySettings settings, Callbacks callbacks);
    ViewRelay(const ViewRelay &) = delete;
    ViewRelay &operator=(const ViewRelay &) = delete;

    /// \param copy Must outlive the relay.
    void add(const std::string &prefix, const CollectionCopy &copy) { m_copies[prefix] = &copy; }
    /// \brief Answers or redirects a query, or queues it until a copy changes or its wait ends.
    /// \param reply Called once, synchronously or later.
    void handle(const PeerQuery &query, Reply reply);
    /// \brief Notices the end of an overflow; to be called about once a second.
    void expire();
    /// \brief Answers the queued queries after a change of a copy.
    void onCopyChanged();
    /// \return Number of daemons that have their copies from this one.
    [[nodiscard]] std::size_t followers() const noexcept { return m_followers.size(); }
    /// \return Number of redirected queries so far.
    [[nodiscard]] std::uint64_t redirected() const noexcept { return m_redirected; }

private:
    struct WaitingQuery
    {
        std::uint64_t id = 0;
        PeerQuery query;
        Reply reply;
    };
    struct Follower
    {
        TimePoint seenAt{};
        std::string domain;
        std::uint32_t referrals = 0; ///< Daemons that were redirected to it.
    };

    /// \return Whether there is a copy of each queried collection.
    [[nodiscard]] bool complete(const PeerQuery &query) const;
    /// \return Time since the older of the copies was confirmed, or nothing where one is
    /// unconfirmed: after a stall of the process it may be older than what the querying daemon
    /// could read itself.
    [[nodiscard]] std::optional<Duration> ageOf(const PeerQuery &query) const;
    /// \return Time since the store returned, where that is recent enough for other daemons to need
    /// it.
    [[nodiscard]] std::optional<Duration> sinceStoreReturn(const CollectionCopy &copy) const;
    /// \return Whether there is something that the querying daemon should learn at once.
    [[nodiscard]] bool hasNewer(const PeerQuery &query) const;
    /// \brief Handles a query while this daemon is empty.
    void handleEmpty(const PeerQuery &query, Reply reply);
    /// \brief Redirects the querying daemon if it gets no follower slot here.
    /// \return Whether it did.
    [[nodiscard]] bool redirectIfFull(const PeerQuery &query, bool isEmpty, const Reply &reply);
    void countRedirect();
    void enqueue(const PeerQuery &query, Reply reply);
    [[nodiscard]] PeerReply answer(const PeerQuery &query);
    [[nodiscard]] CollectionAnswer answerOf(const CollectionQuery &query) const;
    /// \return Complete copies, the same ones for all queries of a short time.
    [[nodiscard]] std::shared_ptr<WholeCopy> wholeCopy(const PeerQuery &query);
    /// \brief Assigns or renews a follower slot. \return False where all are taken.
    [[nodiscard]] bool admit(const PeerQuery &query);
    /// \return A follower that is a root of that failure domain, if any.
    [[nodiscard]] std::optional<PeerReferral> rootIn(const std::string &domain) const;
    /// \return The root of the querying daemon's failure domain, if it should be tried first.
    [[nodiscard]] std::optional<PeerReferral> localRoot(const PeerQuery &query);
    /// \return The daemons to query instead; empty where this one answers.
    [[nodiscard]] std::vector<PeerReferral> referralsFor(const PeerQuery &query);
    /// \return Followers to query instead, the preferred one last.
    [[nodiscard]] std::vector<PeerReferral> followerReferrals(const std::string &domain);
    void timeOut(std::uint64_t id);

    std::string m_domain;
    RelaySettings m_settings;
    Callbacks m_callbacks;
    std::map<std::string, const CollectionCopy *> m_copies;
    std::map<Endpoint, Follower> m_followers;
    PatchCache m_patches;
    /// \brief The copies that daemons got which asked lately.
    struct Whole
    {
        std::shared_ptr<WholeCopy> copy;
        std::vector<CollectionQuery> versions;
        TimePoint madeAt{};
    };
    Whole m_whole;
    /// Daemons that were recently redirected to the root of their domain, and when.
    std::map<Endpoint, TimePoint> m_sentToLocalRoot;
    std::list<WaitingQuery> m_waiting;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_redirected = 0;
    std::uint64_t m_redirectedBefore = 0;       ///< Count before the current overflow.
    std::optional<TimePoint> m_overflowSince{}; ///< Set during an overflow.
    TimePoint m_lastRedirectAt{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
