#pragma once

/// \file
/// \brief Messages of a flow, between a caller, any daemon and the flow's target.

#include "core/load.h"
#include "core/tokens.h"

#include <optional>
#include <string>
#include <variant>

namespace baobabtrail {

/// \brief Asks for a new flow. Sent again, with \a attempt one higher, until an answer comes.
struct OpenFlow
{
    FlowId flow;
    ServiceId service;
    FlowId resumes;            ///< Flow that this one takes the place of; null for none.
    std::uint32_t attempt = 0; ///< 0 for the first datagram.
};

/// \brief The flow is placed; every later message of the caller carries the token.
struct AcceptFlow
{
    FlowId flow;
    FlowToken token;
};

/// \brief Why work was not taken.
enum class RefusalCause {
    UnknownService, ///< Not in the configuration of the daemon that was asked.
    NoTarget,       ///< No target of the service may take work now.
    Overload,       ///< Queues and slots are full.
    WorkspaceLimit, ///< The workspace's fair share or retry budget is used up.
    TableFull,      ///< The daemon's own bound on state.
    DeadlinePassed, ///< Too late to start before the deadline.
    Stopping,       ///< The daemon is leaving; ask again, another one will answer.
    Cancelled,      ///< The caller withdrew it before it started.
    TargetShed,     ///< The target itself said that it did not run it.
};

/// \brief The flow was not placed; the caller may ask again after \a retryAfter.
struct RefuseFlow
{
    FlowId flow;
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
};

/// \brief Payload of a flow, in either direction; opaque to the system.
struct FlowData
{
    FlowId flow;
    FlowToken token;
    std::string payload;
};

/// \brief Asks the target for a sign of life.
struct KeepAlive
{
    FlowId flow;
    FlowToken token;
    std::uint32_t unanswered = 0; ///< How many before this one got no answer; lets a daemon that
                                  ///< keeps no flow table see that a flow has gone silent.
};

struct KeepAliveAck
{
    FlowId flow;
    FlowToken token;
};

/// \brief Either end is done with the flow.
struct CloseFlow
{
    FlowId flow;
    FlowToken token;
};

/// \brief Why a flow was reset.
enum class ResetCause {
    BadToken,     ///< Forged, for another flow, or of a key that is no longer accepted.
    TargetCut,    ///< An operator cut the target off.
    TargetGone,   ///< The target is considered dead.
    Silent,       ///< The target answers others but not this flow.
    UnknownFlow,  ///< The target does not know the flow.
    WrongService, ///< The target serves another service or another generation.
};

/// \brief The flow no longer exists; the caller may open a new one after \a reopenAfter.
struct ResetFlow
{
    FlowId flow;
    ResetCause cause = ResetCause::UnknownFlow;
    Duration reopenAfter{0};
};

using FlowMessage = std::variant<OpenFlow, AcceptFlow, RefuseFlow, FlowData, KeepAlive,
                                 KeepAliveAck, CloseFlow, ResetFlow>;

/// \brief Envelope of a flow message between a daemon and a target, over UDP.
///
/// The target echoes caller and token in all it sends, so that any daemon can pass it on.
struct TargetDatagram
{
    Endpoint caller;
    FlowToken token;  ///< The target refuses a service, id or generation that is not its own.
    Endpoint replyTo; ///< Daemon that waits for the answer to an OpenFlow; otherwise null, and the
                      ///< target answers through the fabric.
    std::optional<LoadReport> load; ///< Only from a target.
    FlowMessage body;
};

} // namespace baobabtrail
