#pragma once

/// \file
/// \brief What a ControlNode wants done.

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
/// \brief Ask a peer over HTTP; a FetchResult follows always, within a few seconds.
struct FetchFromPeer
{
    Endpoint records;
    RecordsMessage message;
};
/// \brief Call the platform; a PlatformReply with the same id follows always.
struct PlatformCall
{
    CallId call;
    PlatformRequest request;
};
/// \brief This configuration is in force from now on; each has a higher revision than the last.
struct PublishConfig
{
    ConfigPtr config;
};
struct PublishView
{
    ViewPtr view;
};

/// \brief The change is in the log; every daemon will apply it.
struct ProposalAccepted
{
    Revision revision;
    bool repeated = false; ///< The change id was in the log already.
};
/// \brief The change is not in the log and won't get there.
struct ProposalRefused
{
    std::vector<std::string> findings; ///< Every reason, each with its place.
    std::string winner; ///< Change that took the expected revision; empty where none did.
    Revision latest;
};
/// \brief The change may be in the log: asking again with the same change id tells.
struct ProposalUnknown
{
    std::string what;
};
/// \brief What a dry run would have changed, one line each.
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
