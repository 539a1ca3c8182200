#pragma once

/// \file
/// \brief Events that a ControlNode handles.

#include "core/config/change.h"
#include "core/messages/peer.h"
#include "core/messages/platform.h"
#include "core/messages/records.h"

#include <optional>
#include <variant>

namespace baobabtrail {

/// \brief Matches a request of the administration API with its outcome.
using ProposalId = StrongId<struct ProposalIdTag>;

/// \brief A datagram from a peer; only Ping, IndirectPing, PingAck and RevisionNotice are passed to
/// a ControlNode.
struct ControlFromPeer
{
    Endpoint address;
    PeerDatagram datagram;
};
/// \brief Result of a FetchFromPeer; no message if the peer did not answer.
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
/// \brief Requests a change of the configuration. The node assigns its revision.
struct Propose
{
    ProposalId proposal;
    ChangeRecord draft;
    std::optional<Revision> expected; ///< Refused unless this is the newest revision.
    bool dryRun = false;
};
/// \brief This daemon is about to stop; the other members are notified.
struct AnnounceLeave
{
};
struct ControlTimerExpired
{
};

using ControlEvent = std::variant<ControlFromPeer, FetchResult, PlatformReply, Propose,
                                  AnnounceLeave, ControlTimerExpired>;

} // namespace baobabtrail
