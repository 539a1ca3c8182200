#pragma once

/// \file
/// \brief Actions that a ControlNode returns for its host to carry out.

#include "core/config/config.h"
#include "core/control/events.h"
#include "core/membership/view.h"
#include "core/notice.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

struct ControlSendToPeer
{
    Endpoint peer;
    PeerMessage message;
};
/// \brief Send a query to a peer over HTTP. The host always reports a FetchResult, within a few
/// seconds.
struct FetchFromPeer
{
    Endpoint records;
    RecordsMessage message;
};
/// \brief Call the platform. The host always reports a PlatformReply with the same id.
struct PlatformCall
{
    CallId call;
    PlatformRequest request;
};
/// \brief Put this configuration in force. Revisions only increase from one action to the next.
struct PublishConfig
{
    ConfigPtr config;
};
struct PublishView
{
    ViewPtr view;
};

/// \brief The change is in the log, and every daemon will apply it.
struct ProposalAccepted
{
    Revision revision;
    bool repeated = false; ///< The log already held this change id.
};
/// \brief The change is not in the log and will not be added to it.
struct ProposalRefused
{
    std::vector<std::string> findings; ///< Every reason, each with its location.
    std::string winner; ///< Change that was logged under the expected revision; empty if none.
    Revision latest;
};
/// \brief The change may or may not be in the log; a retry with the same change id tells which.
struct ProposalUnknown
{
    std::string what;
};
/// \brief The effects that the change would have, one line each; the result of a dry run.
struct ProposalPreview
{
    std::vector<std::string> effects;
    Revision latest;
};
using ProposalOutcome
    = std::variant<ProposalAccepted, ProposalRefused, ProposalUnknown, ProposalPreview>;

struct ProposalDone
{
    ProposalId proposal;
    ProposalOutcome outcome;
};

using ControlAction = std::variant<ControlSendToPeer, FetchFromPeer, PlatformCall, PublishConfig,
                                   PublishView, ProposalDone, Notice>;
using ControlActions = std::vector<ControlAction>;

} // namespace baobabtrail
