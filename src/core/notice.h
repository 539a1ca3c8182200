#pragma once

#include "core/ids.h"
#include "core/messages/request.h"

#include <string>
#include <variant>

namespace baobabtrail {

enum class Severity { Debug, Info, Warning, Error };

/// \brief Part of the system that a log line comes from; printed as a fixed prefix.
enum class Part { Flows, Requests, Targets, Config, Membership, Distribution, Platform, Daemon };

/// \brief A line for the log; the daemon limits how many of a kind it writes.
struct Notice
{
    Severity severity = Severity::Info;
    Part part = Part::Daemon;
    std::string text;   ///< One short sentence.
    ServiceId service;  ///< Null where none is concerned.
    std::string change; ///< Id of the change that is concerned; empty for none.
};

enum class RequestOutcome { Answered, NotRun, Unknown };

/// \brief A request came to its end at its owner; feeds the histograms.
struct RequestObserved
{
    ServiceId service;
    RequestClass requestClass = RequestClass::Normal;
    RequestOutcome outcome = RequestOutcome::Answered;
    RefusalCause refusal = RefusalCause::Overload; ///< Only with NotRun.
    Duration queued{0};                            ///< From the reservation to the dispatch.
    Duration total{0};                             ///< From the reservation to the end.
};

enum class FlowEvent { Opened, Refused, Closed, Reset, Reopened };

struct FlowObserved
{
    ServiceId service;
    FlowEvent event = FlowEvent::Opened;
    RefusalCause refusal = RefusalCause::Overload; ///< Only with Refused.
    ResetCause reset = ResetCause::UnknownFlow;    ///< Only with Reset.
};

/// \brief A token or message that was not accepted, by cause.
enum class RejectKind { BadFlowToken, BadReservation, WrongTarget, StaleGeneration, BadPeer };

struct RejectObserved
{
    RejectKind kind = RejectKind::BadFlowToken;
    ServiceId service;
};

using Observation = std::variant<RequestObserved, FlowObserved, RejectObserved>;

} // namespace baobabtrail
