#pragma once

/// \file
/// \brief Messages of a request, between a caller and the daemons, and between the request's owner
/// and the target.

#include "core/load.h"
#include "core/messages/flow.h"
#include "core/tokens.h"

#include <optional>
#include <string>
#include <variant>

namespace baobabtrail {

/// \brief Priority class of a request; a lower value has priority.
enum class RequestClass : std::uint8_t {
    Urgent = 0, ///< Pass checks.
    Normal = 1, ///< Swap requests.
    Bulk = 2,   ///< Uploads of photographs and claims.
};
inline constexpr std::size_t RequestClassCount = 3;

/// \brief Asks for a daemon to own a request; nothing is run yet.
struct Reserve
{
    RequestId request;
    ServiceId service;
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false; ///< Whether the request may run more than once.
    Duration timeLeft{0};    ///< Until the caller's deadline.
    std::uint32_t attempt = 0;
};

/// \brief A daemon now owns the request. The caller uses the first reservation that it receives.
struct Reserved
{
    RequestId request;
    ReservationToken token;
};

/// \brief The request itself. Retransmitted until an Answer, a NotRun or an OutcomeUnknown arrives.
struct RequestData
{
    RequestId request;
    ReservationToken token;
    std::string payload;
};

/// \brief One part of the answer; an answer longer than a datagram is split into several.
struct Answer
{
    RequestId request;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string payload;
};

/// \brief The request did not run and will not, under this reservation.
///
/// A caller that reserved twice may be refused by one daemon while its reservation at another one
/// is running: once it has sent its RequestData, it accepts a NotRun only from the owner of that
/// reservation. A retry needs a new request id.
struct NotRun
{
    RequestId request;
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
    DaemonId owner{}; ///< Owner of the reservation that ended; null if there was none.
};

/// \brief Why it is unknown whether the request ran.
enum class UnknownCause {
    DeadlinePassed, ///< Dispatched, but not answered before the deadline.
    LinkBroken,     ///< The connection to the target broke after dispatch.
    OwnerRestarted, ///< The reservation was made by an earlier incarnation of its owner.
    OwnerGone,      ///< The owner is considered dead.
    Expired,        ///< The deadline has passed and the state of the request was erased.
};

struct OutcomeUnknown
{
    RequestId request;
    UnknownCause cause = UnknownCause::DeadlinePassed;
};

/// \brief Cancels a request; answered by NotRun if it had not started.
struct CancelRequest
{
    RequestId request;
    ReservationToken token;
};

using RequestMessage
    = std::variant<Reserve, Reserved, RequestData, Answer, NotRun, OutcomeUnknown, CancelRequest>;

/// \brief Any message between a caller and a daemon.
using CallerMessage = std::variant<FlowMessage, RequestMessage>;

/// \brief Identifies one dispatch of a request to a target; chosen by the owner and never reused.
using AttemptId = StrongId<struct AttemptIdTag>;

/// \brief First message on a connection to a target, repeated every few seconds.
struct LinkHello
{
    ServiceId service;
    TargetId target;
    Generation generation;
};

/// \brief Identity reported by the target; it receives no work until this matches.
struct LinkHelloReply
{
    ServiceId service;
    LoadReport load;
};

struct Dispatch
{
    AttemptId attempt;
    RequestId request;
    ServiceId service;
    RequestClass requestClass = RequestClass::Normal;
    Duration timeLeft{0};
    std::string payload;
};

struct CancelAttempt
{
    AttemptId attempt;
};

/// \brief The attempt ran to completion.
struct AttemptDone
{
    AttemptId attempt;
    LoadReport load;
    std::string payload;
};

/// \brief The target reports that the attempt did not run and will not.
struct AttemptNotRun
{
    AttemptId attempt;
    LoadReport load;
    RefusalCause cause = RefusalCause::TargetShed;
};

/// \brief Any message on the TCP connection between an owner and a target.
using LinkMessage
    = std::variant<LinkHello, LinkHelloReply, Dispatch, CancelAttempt, AttemptDone, AttemptNotRun>;

} // namespace baobabtrail
