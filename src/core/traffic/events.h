#pragma once

/// \file
/// \brief Inputs of a TrafficNode. Each event is handled completely before the next one.

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
/// \brief A datagram of another daemon; only with a Handoff, HandoffReply or OwnerRequest.
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
/// \brief The TCP connection that an OpenLink asked for is established.
struct LinkOpened
{
    TargetId target;
    Generation generation;
};
/// \brief The connection broke or could not be established.
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
/// \brief Begin a graceful stop: refuse new work and finish what is in progress.
struct StopRequested
{
};
/// \brief The time that nextTimer() returned has been reached.
struct TimerExpired
{
};

using TrafficEvent
    = std::variant<FromCaller, FromPeer, FromTarget, LinkOpened, LinkClosed, FromLink,
                   ConfigChanged, ViewChanged, StopRequested, TimerExpired>;

} // namespace baobabtrail
