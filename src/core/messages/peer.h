#pragma once

/// \file
/// \brief Messages between daemons, over UDP, each authenticated by the cluster's peer key.

#include "core/messages/request.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Forwards a new flow or request to the daemon that owns the chosen target.
struct Handoff
{
    Endpoint caller;
    Endpoint entry; ///< Peer address of the daemon that the caller reached; the reply goes back
                    ///< through it, so that it receives the load hints in the reply.
    TargetId target;
    std::uint32_t hops = 0;      ///< Number of forwards so far; bounded.
    std::vector<LoadHint> hints; ///< Target loads collected on the way.
    std::variant<OpenFlow, Reserve> body;
};

/// \brief Reply to a Handoff, returned to the caller through the entry daemon.
struct HandoffReply
{
    Endpoint caller;
    std::vector<LoadHint> hints;
    std::variant<AcceptFlow, RefuseFlow, Reserved, NotRun> reply;
};

/// \brief Forwards a reserved request, or its cancellation, to its owner.
struct OwnerRequest
{
    Endpoint caller;
    std::variant<RequestData, CancelRequest> body;
};

/// \brief State of a member of the failure domain.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer recent pings; owns its targets until it is confirmed dead.
    Leaving, ///< Announced its shutdown: owns no targets, but still answers.
    Dead,
};

/// \brief Update about one member, piggybacked on pings.
struct MemberUpdate
{
    DaemonId daemon;
    Incarnation incarnation;
    std::uint32_t version = 0; ///< Raised only by the member itself, to refute a suspicion.
    MemberState state = MemberState::Alive;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< Address that records are fetched from (HTTP over TCP).
    std::string domain;
    Revision revision; ///< Configuration in force there at its last message.
};

struct Ping
{
    std::uint64_t sequence = 0;
    std::vector<MemberUpdate> updates; ///< The sender's own comes first.
    std::optional<Duration> configAge; ///< Since the sender's revision was confirmed as the newest.
};

/// \brief Asks a third daemon to ping \a subject, to distinguish a dead member from a lost
/// datagram.
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

/// \brief Announces a new revision that can be fetched from the sender.
struct RevisionNotice
{
    Revision revision;
    Endpoint records;
};

using PeerMessage = std::variant<Handoff, HandoffReply, OwnerRequest, Ping, IndirectPing, PingAck,
                                 RevisionNotice>;

/// \brief Envelope of a message between daemons; the codec adds and verifies the MAC.
struct PeerDatagram
{
    DaemonId from;
    Incarnation incarnation;
    PeerMessage body;
};

} // namespace baobabtrail
