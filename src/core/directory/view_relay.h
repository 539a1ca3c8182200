#pragma once

#include "core/directory/patch_cache.h"
#include "core/directory/peer_view.h"
#include "core/time.h"

#include <functional>
#include <list>
#include <map>
#include <memory>

namespace baobabtrail {

/// \brief Bounds of a ViewRelay.
struct RelaySettings
{
    /// Daemons that are answered, for each collection; more are sent on to one of these. With an
    /// answer each 1.5 s to each, four cost 1.7 KB/s of the 2 KB/s that control may; a root, which
    /// also answers two others, 2.4.
    std::size_t maxFollowers = 4;
    Duration followerTimeout = 3500ms; ///< Of two questions in a row; then its place is free.
    Duration longestWait = 5s;         ///< Of one question, whatever it asks for.
    /// Age beyond which a copy is answered from for everybody; as PeerSettings::staleAfter.
    Duration staleAfter = 2200ms;
};

/// \brief Answers other daemons from this one's copies of the store's collections, so that the
/// store needs to answer a few daemons only.
class ViewRelay
{
public:
    using Reply = std::function<void(PeerReply)>;
    struct Ports
    {
        std::function<TimePoint()> now;
        std::function<void(Duration, std::function<void()>)> after;
        /// How this daemon's copy of a collection comes from the store.
        std::function<Lineage(const std::string &prefix)> lineage;
        std::function<bool(const Endpoint &daemon)> isRoot;
        /// A daemon has asked whose own copy is younger than this one, which is out of date.
        std::function<void(const std::string &prefix, const Endpoint &fresher)> fresher;
    };

    ViewRelay(std::string domain, RelaySettings settings, Ports ports);
    ViewRelay(const ViewRelay &) = delete;
    ViewRelay &operator=(const ViewRelay &) = delete;

    /// \param copy Must outlive the relay.
    void add(const std::string &prefix, const CollectionCopy &copy) { m_copies[prefix] = &copy; }
    /// \param reply Called once, at once or later.
    void ask(const PeerQuestion &question, Reply reply);
    /// \brief A copy changed: answers those who wait for it.
    void changed(const std::string &prefix);
    /// \return Daemons that have a copy from here, of the collection that most have.
    [[nodiscard]] std::size_t followers() const noexcept;

private:
    struct Waiting
    {
        std::uint64_t id = 0;
        PeerQuestion question;
        Reply reply;
    };
    struct Follower
    {
        TimePoint seenAt{};
        std::string domain;
        std::uint32_t sent = 0; ///< Daemons that were sent on to it.
    };

    using Followers = std::map<Endpoint, Follower>;

    [[nodiscard]] PeerReply answer(const CollectionCopy &copy, const PeerQuestion &question);
    [[nodiscard]] Duration ageOf(const CollectionCopy &copy) const;
    [[nodiscard]] bool admit(const PeerQuestion &question);
    [[nodiscard]] std::optional<Endpoint> rootIn(const std::string &prefix,
                                                 const std::string &domain) const;
    [[nodiscard]] std::optional<Endpoint> nearerRoot(const PeerQuestion &question);
    /// \return Whom the asking daemon should ask instead; empty for nobody.
    [[nodiscard]] std::vector<Endpoint> redirect(const PeerQuestion &question);
    [[nodiscard]] std::vector<Endpoint> others(const std::string &prefix,
                                               const std::string &domain);
    void timeOut(std::uint64_t id);

    std::string m_domain;
    RelaySettings m_settings;
    Ports m_ports;
    std::map<std::string, const CollectionCopy *> m_copies;
    std::map<std::string, Followers> m_followers; ///< By collection.
    PatchCache m_patches;
    std::map<Endpoint, TimePoint> m_sentHome; ///< To the roots of their own domains, lately.
    std::list<Waiting> m_waiting;
    std::uint64_t m_lastId = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace baobabtrail
