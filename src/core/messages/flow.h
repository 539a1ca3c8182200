#pragma once

/// \file
/// \brief Messages of a flow, between a caller, any daemon and the flow's target.

#include "core/load.h"
#include "core/tokens.h"

#include <optional>
#include <string>
#include <variant>

namespace baobabtrail {

/// \brief Asks for a new flow. Retransmitted, with \a attempt one higher each time, until answered.
struct OpenFlow
{
    FlowId flow;
    ServiceId service;
    FlowId resumes;            ///< Flow that this one replaces; null if none.
    std::uint32_t attempt = 0; ///< 0 for the first datagram.
};

/// \brief The flow has a target; every later message of the caller carries the token.
struct AcceptFlow
{
    FlowId flow;
    FlowToken token;
};

/// \brief Why a flow or request was refused.
enum class RefusalCause {
    UnknownService, ///< Not in the daemon's configuration.
    NoTarget,       ///< No target of the service currently accepts work.
    Overload,       ///< All queues and slots are full.
    WorkspaceLimit, ///< The workspace's fair share or retry budget is exhausted.
    TableFull,      ///< The daemon's limit on state entries is reached.
    DeadlinePassed, ///< It could not be started before its deadline.
    Stopping,       ///< The daemon is leaving; a retry will reach another one.
    Cancelled,      ///< The caller cancelled it before it started.
    TargetShed,     ///< The target reported that it did not run it.
};

/// \brief The flow was refused; the caller may retry after \a retryAfter.
struct RefuseFlow
{
    FlowId flow;
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
};

/// \brief Payload of a flow, in either direction; opaque to the load balancer.
struct FlowData
{
    FlowId flow;
    FlowToken token;
    std::string payload;
};

/// \brief Liveness probe of a flow, sent to its target.
struct KeepAlive
{
    FlowId flow;
    FlowToken token;
    std::uint32_t unanswered = 0; ///< Unanswered probes before this one; lets a daemon without
                                  ///< a flow table detect that a flow has gone silent.
};

struct KeepAliveAck
{
    FlowId flow;
    FlowToken token;
};

/// \brief Either end closes the flow.
struct CloseFlow
{
    FlowId flow;
    FlowToken token;
};

/// \brief Why a flow was reset.
enum class ResetCause {
    BadToken,     ///< Forged, of another flow, or sealed with a key that is no longer accepted.
    TargetCut,    ///< An operator cut the target.
    TargetGone,   ///< The target is considered dead.
    Silent,       ///< The target answers other flows but not this one.
    UnknownFlow,  ///< The target has no such flow.
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
/// The target echoes the caller and token in every message, so that any daemon can forward it.
struct TargetDatagram
{
    Endpoint caller;
    FlowToken token;  ///< The target refuses any service, id or generation but its own.
    Endpoint replyTo; ///< Daemon that awaits the answer to an OpenFlow; otherwise null, and the
                      ///< target answers through the fabric.
    std::optional<LoadReport> load; ///< Set only by targets.
    FlowMessage body;
};

} // namespace baobabtrail
