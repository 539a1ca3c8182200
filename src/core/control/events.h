#pragma once

/// \file
/// \brief What goes into a ControlNode.

#include "core/config/change.h"
#include "core/messages/peer.h"
#include "core/messages/platform.h"
#include "core/messages/records.h"

#include <optional>
#include <variant>

namespace baobabtrail {

/// \brief Pairs a request of the administration API with its outcome.
using ProposalId = StrongId<struct ProposalIdTag>;

/// \brief Only Ping, IndirectPing, PingAck and RevisionNotice reach a ControlNode.
struct ControlFromPeer
{
    Endpoint address;
    PeerDatagram datagram;
};
/// \brief Result of a FetchFromPeer; nothing where the peer did not answer.
struct FetchResult
{
    Endpoint records;
    std::optional<RecordsMessage> message;
};
struct PlatformReply
{
    CallId call;
    PlatformResult result;
};
/// \brief Someone wants a change. Its revision is filled in by the node.
struct Propose
{
    ProposalId proposal;
    ChangeRecord draft;
    std::optional<Revision> expected; ///< Refused where the newest revision is another one.
    bool dryRun = false;
};
/// \brief This daemon is about to stop; tell the others.
struct AnnounceLeave
{
};
struct ControlTimerExpired
{
};

using ControlEvent = std::variant<ControlFromPeer, FetchResult, PlatformReply, Propose,
                                  AnnounceLeave, ControlTimerExpired>;

} // namespace baobabtrail
