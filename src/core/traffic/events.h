#pragma once

/// \file
/// \brief What goes into a TrafficNode. Each event is handled to its end before the next one.

#include "core/config/config.h"
#include "core/membership/view.h"
#include "core/messages/flow.h"
#include "core/messages/peer.h"
#include "core/messages/request.h"

#include <variant>

namespace baobabtrail {

struct FromCaller
{
    Endpoint caller;
    CallerMessage message;
};
/// \brief Only Handoff, HandoffReply and OwnerRequest reach a TrafficNode.
struct FromPeer
{
    Endpoint address;
    PeerDatagram datagram;
};
struct FromTarget
{
    Endpoint address;
    TargetDatagram datagram;
};
/// \brief The TCP connection that an OpenLink asked for is there.
struct LinkOpened
{
    TargetId target;
    Generation generation;
};
/// \brief The connection broke or could not be made.
struct LinkClosed
{
    TargetId target;
    Generation generation;
};
struct FromLink
{
    TargetId target;
    Generation generation;
    LinkMessage message;
};
struct ConfigChanged
{
    ConfigPtr config;
};
struct ViewChanged
{
    ViewPtr view;
};
/// \brief Begin a graceful stop: no new work, finish what is in progress.
struct StopRequested
{
};
/// \brief The time that nextTimer() named has come.
struct TimerExpired
{
};

using TrafficEvent
    = std::variant<FromCaller, FromPeer, FromTarget, LinkOpened, LinkClosed, FromLink,
                   ConfigChanged, ViewChanged, StopRequested, TimerExpired>;

} // namespace baobabtrail
