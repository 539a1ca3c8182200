#pragma once

/// \file
/// \brief Actions that a TrafficNode asks its daemon for. They are carried out in order; a result
/// is reported by a later event only.

#include "core/config/change.h"
#include "core/messages/flow.h"
#include "core/messages/peer.h"
#include "core/messages/request.h"
#include "core/notice.h"

#include <variant>
#include <vector>

namespace baobabtrail {

struct SendToCaller
{
    Endpoint caller;
    CallerMessage message;
};
struct SendToPeer
{
    Endpoint peer;
    PeerMessage message;
};
struct SendToTarget
{
    Endpoint target;
    TargetDatagram datagram;
};
/// \brief Open a TCP connection to a target; LinkOpened or LinkClosed follows.
struct OpenLink
{
    TargetId target;
    Generation generation;
    Endpoint address;
};
/// \brief Close a connection; no event follows.
struct CloseLink
{
    TargetId target;
    Generation generation;
};
struct SendOnLink
{
    TargetId target;
    Generation generation;
    LinkMessage message;
};
/// \brief Ask the control side to append a change to the configuration log; idempotent by its id.
struct ProposeCommand
{
    std::string changeId;
    Command command;
};
/// \brief The graceful stop is complete: nothing is in progress.
struct Stopped
{
};

using TrafficAction = std::variant<SendToCaller, SendToPeer, SendToTarget, OpenLink, CloseLink,
                                   SendOnLink, ProposeCommand, Notice, Observation, Stopped>;
using TrafficActions = std::vector<TrafficAction>;

} // namespace baobabtrail
