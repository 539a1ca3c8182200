#pragma once

#include "core/ids.h"
#include "core/messages/request.h"

#include <string>
#include <variant>

namespace baobabtrail {

enum class Severity { Debug, Info, Warning, Error };

/// \brief Component that a log line comes from; printed as a fixed prefix.
enum class Part { Flows, Requests, Targets, Config, Membership, Distribution, Platform, Daemon };

/// \brief A log line; the daemon rate-limits each kind.
struct Notice
{
    Severity severity = Severity::Info;
    Part part = Part::Daemon;
    std::string text;   ///< One short sentence.
    ServiceId service;  ///< Service that is concerned; null for none.
    std::string change; ///< Id of the change that is concerned; empty for none.
};

enum class RequestOutcome { Answered, NotRun, Unknown };

/// \brief A request ended at its owner; feeds the histograms.
struct RequestObserved
{
    ServiceId service;
    RequestClass requestClass = RequestClass::Normal;
    RequestOutcome outcome = RequestOutcome::Answered;
    RefusalCause refusal = RefusalCause::Overload; ///< Only with NotRun.
    Duration queued{0};                            ///< Time from reservation to dispatch.
    Duration total{0};                             ///< Time from reservation to the end.
};

enum class FlowEvent { Opened, Refused, Closed, Reset, Reopened };

struct FlowObserved
{
    ServiceId service;
    FlowEvent event = FlowEvent::Opened;
    RefusalCause refusal = RefusalCause::Overload; ///< Only with Refused.
    ResetCause reset = ResetCause::UnknownFlow;    ///< Only with Reset.
};

/// \brief Why a token or message was rejected.
enum class RejectKind { BadFlowToken, BadReservation, WrongTarget, StaleGeneration, BadPeer };

struct RejectObserved
{
    RejectKind kind = RejectKind::BadFlowToken;
    ServiceId service;
};

using Observation = std::variant<RequestObserved, FlowObserved, RejectObserved>;

} // namespace baobabtrail
