#pragma once

/// \file
/// \brief Messages between daemons, over UDP, each authenticated by the cluster's peer key.

#include "core/messages/request.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Hands a new flow or request to the daemon that owns the chosen target.
struct Handoff
{
    Endpoint caller;
    Endpoint entry; ///< Peer address of the daemon that the caller reached; the reply goes back
                    ///< through it, so that it sees the load that rides on the reply.
    TargetId target;
    std::uint32_t hops = 0;      ///< Forwards so far; bounded.
    std::vector<LoadHint> hints; ///< Loads seen on the way.
    std::variant<OpenFlow, Reserve> body;
};

/// \brief Reply to a Handoff, on its way to the caller.
struct HandoffReply
{
    Endpoint caller;
    std::vector<LoadHint> hints;
    std::variant<AcceptFlow, RefuseFlow, Reserved, NotRun> reply;
};

/// \brief Hands a reserved request, or its cancellation, to its owner.
struct OwnerRequest
{
    Endpoint caller;
    std::variant<RequestData, CancelRequest> body;
};

/// \brief What is known of a member of the failure domain.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer lately; keeps its targets until it is confirmed dead.
    Leaving, ///< Announced its stop: owns no targets, still answers.
    Dead,
};

/// \brief News of one member, spread on pings.
struct MemberUpdate
{
    DaemonId daemon;
    Incarnation incarnation;
    std::uint32_t version = 0; ///< Raised by the member itself to refute a suspicion.
    MemberState state = MemberState::Alive;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< Address that records are fetched from (HTTP over TCP).
    std::string domain;
    Revision revision; ///< Configuration in force there when it last spoke.
};

struct Ping
{
    std::uint64_t sequence = 0;
    std::vector<MemberUpdate> updates; ///< The sender's own comes first.
    std::optional<Duration> configAge; ///< Since the sender's revision was known to be the newest.
};

/// \brief Asks a third daemon to ping \a subject, to tell a dead member from a lost datagram.
struct IndirectPing
{
    std::uint64_t sequence = 0;
    Endpoint subject;
    std::vector<MemberUpdate> updates;
};

struct PingAck
{
    std::uint64_t sequence = 0;
    std::vector<MemberUpdate> updates; ///< The sender's own comes first.
    std::optional<Duration> configAge; ///< As in Ping.
};

/// \brief A new revision exists and can be fetched from the sender.
struct RevisionNotice
{
    Revision revision;
    Endpoint records;
};

using PeerMessage = std::variant<Handoff, HandoffReply, OwnerRequest, Ping, IndirectPing, PingAck,
                                 RevisionNotice>;

/// \brief Envelope of a message between daemons; the MAC is the codec's matter.
struct PeerDatagram
{
    DaemonId from;
    Incarnation incarnation;
    PeerMessage body;
};

} // namespace baobabtrail
