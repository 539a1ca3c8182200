#pragma once

#include "core/control/context.h"
#include "core/membership/member_table.h"
#include "core/membership/remote_members.h"
#include "core/membership/rumors.h"
#include "core/membership/view.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief Membership of the failure domain by the SWIM protocol: random pings, indirect pings,
/// suspicion before removal, refutation, and updates piggybacked on pings.
///
/// Each daemon sends one ping per period whatever the size of its domain, so the cost is constant
/// and the time to detect a failure hardly grows. No safety property depends on the result.
class Swim
{
public:
    /// \brief Called with an update that a daemon sent about itself, and the age of its
    /// configuration.
    using UpdateHandler = std::function<void(const MemberUpdate &, std::optional<Duration>)>;
    using Age = std::function<std::optional<Duration>()>;

    Swim(ControlContext &context, UpdateHandler onUpdate, Age configAge);

    void start();
    void receive(const PeerDatagram &datagram, const Endpoint &from);
    void applyVmList(const VmList &list);
    /// \brief Applies a peer's answer to FetchStatus.
    void applyStatus(const DomainStatus &status);
    void announceLeave();
    /// \brief Called after this process stalled: missing answers then say nothing about other
    /// members, so pending pings are dropped and suspicions start over.
    void onStall();

    void setRevision(Revision revision);
    void raiseRevision(DaemonId id, Revision revision);
    /// \brief Pings a daemon of another failure domain to compare revisions.
    void pingRemote();

    [[nodiscard]] View view() const;
    /// \return Whether anything but revisions changed since the last call.
    [[nodiscard]] bool takeChanged();
    [[nodiscard]] std::vector<MemberUpdate> statusMembers() const;
    /// \return Rank of this daemon among the watchers of its domain, or nullopt if not a watcher.
    [[nodiscard]] std::optional<std::size_t> watcherRank() const;
    [[nodiscard]] bool hasPeers() const;
    [[nodiscard]] std::size_t memberCount() const;
    [[nodiscard]] bool isLeaving() const noexcept { return m_self.state == MemberState::Leaving; }
    /// \return Other daemons of the domain that are not considered dead.
    [[nodiscard]] std::vector<const MemberUpdate *> peers() const;
    [[nodiscard]] const RemoteMembers &remote() const noexcept { return m_remote; }

private:
    /// \brief A ping that was not acknowledged yet.
    struct Pending
    {
        DaemonId member;
        TimePoint sentAt;
    };
    /// \brief A ping sent on behalf of another daemon.
    struct Relay
    {
        Endpoint requester;
        std::uint64_t sequence = 0;
    };
    struct Candidate
    {
        VmEntry vm;
        std::uint32_t tries = 0;
    };

    void tick();
    void pingNext();
    void pingSuspects();
    void pingCandidate();
    void pingDead();
    [[nodiscard]] bool isSeedDue() const;
    void pingSeed();
    void pingMember(const MemberUpdate &member);
    void sendPing(const Endpoint &address, std::uint64_t sequence, DaemonId recipient);
    void pingIndirectly(std::uint64_t sequence);
    void onPingFailed(std::uint64_t sequence);
    void suspect(MemberEntry &entry, TimePoint since);
    void scheduleRemoval(const MemberEntry &entry);
    void pingBeforeRemoval(DaemonId id);
    void removeIfStillSuspect(DaemonId id);

    void on(const Ping &ping, const PeerDatagram &datagram, const Endpoint &from);
    void on(const IndirectPing &ping, const PeerDatagram &datagram, const Endpoint &from);
    void on(const PingAck &ack, const PeerDatagram &datagram, const Endpoint &from);

    void applyUpdates(const std::vector<MemberUpdate> &updates, DaemonId sender,
                      std::optional<Duration> age);
    void applyDirect(const MemberUpdate &update, std::optional<Duration> age);
    void applyRumor(const MemberUpdate &update, bool passOn);
    void applyUpdateOfSelf(const MemberUpdate &update);
    void refute(std::uint32_t version);
    void fetchMembers(const MemberUpdate &peer);
    [[nodiscard]] std::vector<MemberUpdate> updatesFor(DaemonId recipient);
    [[nodiscard]] const MemberUpdate *lookUp(DaemonId id);
    void addRandomMember(std::vector<MemberUpdate> &updates);

    ControlContext &m_context;
    UpdateHandler m_onUpdate;
    Age m_configAge;
    MemberUpdate m_self;
    MemberTable m_table;
    RemoteMembers m_remote;
    RumorQueue m_rumors;
    std::map<DaemonId, Candidate> m_candidates; ///< Listed VMs that never answered.
    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::uint64_t, Relay> m_relays;
    std::vector<DaemonId> m_round; ///< Members left to ping in this round, taken from the back.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_ticks = 0;
    std::size_t m_nextRemoteDomain = 0;
    std::optional<TimePoint> m_leavingHintRefutedAt;
    bool m_membersFetched = false; ///< Whether a peer has answered with all members it knows.
    bool m_fetchingMembers = false;
    bool m_changed = true;
};

} // namespace baobabtrail
