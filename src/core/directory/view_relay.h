#pragma once

#include "core/directory/patch_cache.h"
#include "core/directory/peer_view.h"
#include "core/time.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace baobabtrail {

/// \brief Bounds of a ViewRelay.
struct RelaySettings
{
    /// Daemons that are answered; more are sent on to one of these. Each of them costs an answer
    /// each 1.5 s, and a whole copy at its start.
    std::size_t maxFollowers = 4;
    Duration followerTimeout = 3500ms; ///< Of two questions in a row; then its place is free.
    Duration maxWait = 5s;             ///< Of one question, whatever it asks for.
    /// Age beyond which a copy is answered from for everybody; as PeerFeedSettings::staleAfter.
    Duration staleAfter = 2200ms;
};

/// \brief A daemon begins, or ends, to send others on since its places are taken.
struct FollowerOverflow
{
    bool ended = false;
    std::uint64_t count = 0; ///< Daemons that were sent on meanwhile.
    Duration lasted{0};
    std::size_t followers = 0;
};

/// \brief Answers other daemons from this one's copies of the store's collections, so that the
/// store needs to answer a few daemons only.
class ViewRelay
{
public:
    using Reply = std::function<void(PeerReply)>;
    struct Callbacks
    {
        std::function<TimePoint()> now;
        std::function<void(Duration, std::function<void()>)> after;
        /// How this daemon's copies come from the store.
        std::function<Lineage()> lineage;
        std::function<bool(const Endpoint &daemon)> isRoot;
        /// A daemon has asked whose own copies are younger than these, which are out of date or
        /// missing.
        std::function<void(const Endpoint &fresher)> fresher;
        std::function<void(const FollowerOverflow &)> overflow{}; ///< May be empty.
    };

    ViewRelay(std::string domain, RelaySettings settings, Callbacks callbacks);
    ViewRelay(const ViewRelay &) = delete;
    ViewRelay &operator=(const ViewRelay &) = delete;

    /// \param copy Must outlive the relay.
    void add(const std::string &prefix, const CollectionCopy &copy) { m_copies[prefix] = &copy; }
    /// \param reply Called once, at once or later.
    void handle(const PeerQuery &query, Reply reply);
    /// \brief To be called about each second: notices when nobody is sent on any more.
    void expire();
    /// \brief A copy changed: answers those who wait for it.
    void onCopyChanged();
    /// \return Daemons that have their copies from here.
    [[nodiscard]] std::size_t followers() const noexcept { return m_followers.size(); }
    /// \return Daemons that were sent on to others so far.
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
        std::uint32_t referrals = 0; ///< Daemons that were sent on to it.
    };

    /// \return Whether all that is asked for is here.
    [[nodiscard]] bool complete(const PeerQuery &query) const;
    /// \return Since the older of the copies was confirmed; nothing where one can't be vouched for:
    /// since the process stood still it may be older than what the asking daemon could read itself.
    [[nodiscard]] std::optional<Duration> ageOf(const PeerQuery &query) const;
    /// \return Since the store came back, where other daemons have to know that.
    [[nodiscard]] std::optional<Duration> sinceStoreReturn(const CollectionCopy &copy) const;
    [[nodiscard]] bool hasNewer(const PeerQuery &query) const;
    /// \brief Answers one that asks while there is nothing here.
    void handleEmpty(const PeerQuery &query, Reply reply);
    /// \brief Sends the asking daemon on where it has no place here. \return Whether it did.
    [[nodiscard]] bool redirectIfFull(const PeerQuery &query, bool isEmpty, const Reply &reply);
    void countRedirect();
    void enqueue(const PeerQuery &query, Reply reply);
    [[nodiscard]] PeerReply answer(const PeerQuery &query);
    [[nodiscard]] bool admit(const PeerQuery &query);
    [[nodiscard]] std::optional<PeerReferral> rootIn(const std::string &domain) const;
    [[nodiscard]] std::optional<PeerReferral> localRoot(const PeerQuery &query);
    /// \return Whom the asking daemon should ask instead; empty for nobody.
    [[nodiscard]] std::vector<PeerReferral> referralsFor(const PeerQuery &query);
    [[nodiscard]] std::vector<PeerReferral> followerReferrals(const std::string &domain);
    void timeOut(std::uint64_t id);

    std::string m_domain;
    RelaySettings m_settings;
    Callbacks m_callbacks;
    std::map<std::string, const CollectionCopy *> m_copies;
    std::map<Endpoint, Follower> m_followers;
    PatchCache m_patches;
    std::map<Endpoint, TimePoint> m_sentToLocalRoot; ///< To the roots of their own domains, lately.
    std::list<WaitingQuery> m_waiting;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_redirected = 0;
    std::uint64_t m_redirectedBefore = 0;       ///< Before this daemon began to turn others away.
    std::optional<TimePoint> m_overflowSince{}; ///< While it does.
    TimePoint m_lastRedirectAt{};               ///< Lately.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
