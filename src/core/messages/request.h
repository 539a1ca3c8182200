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

/// \brief Priority class of a request; a lower value goes first.
enum class RequestClass : std::uint8_t {
    Urgent = 0, ///< Pass checks.
    Normal = 1, ///< Swap requests.
    Bulk = 2,   ///< Uploads of photographs and claims.
};
inline constexpr std::size_t RequestClassCount = 3;

/// \brief Asks for an owner of a request; nothing is run yet.
struct Reserve
{
    RequestId request;
    ServiceId service;
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false; ///< Whether the request may run more than once.
    Duration timeLeft{0};    ///< Until the caller's deadline.
    std::uint32_t attempt = 0;
};

/// \brief One daemon owns the request now. The caller keeps to the first one it gets.
struct Reserved
{
    RequestId request;
    ReservationToken token;
};

/// \brief The request itself. Sent again until an Answer, a NotRun or an OutcomeUnknown comes.
struct RequestData
{
    RequestId request;
    ReservationToken token;
    std::string payload;
};

/// \brief One part of the answer; an answer longer than a datagram comes in several.
struct Answer
{
    RequestId request;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string payload;
};

/// \brief The request did not run and will not, under this reservation.
///
/// A caller that reserved twice may be refused by one daemon while another one's reservation runs:
/// once it has sent its RequestData, it takes a NotRun only from the owner of that reservation. A
/// new try takes a new request id.
struct NotRun
{
    RequestId request;
    RefusalCause cause = RefusalCause::Overload;
    Duration retryAfter{0};
    DaemonId owner{}; ///< Owner of the reservation that ended; null where none was made.
};

/// \brief Why nobody can say whether the request ran.
enum class UnknownCause {
    DeadlinePassed, ///< Dispatched, no answer before the deadline.
    LinkBroken,     ///< The connection to the target broke after dispatch.
    OwnerRestarted, ///< The reservation is of an earlier incarnation of its owner.
    OwnerGone,      ///< The owner is considered dead.
    Expired,        ///< The deadline has passed and nothing is kept of the request any more.
};

struct OutcomeUnknown
{
    RequestId request;
    UnknownCause cause = UnknownCause::DeadlinePassed;
};

/// \brief The caller no longer wants the request; answered by NotRun where it had not started.
struct CancelRequest
{
    RequestId request;
    ReservationToken token;
};

using RequestMessage
    = std::variant<Reserve, Reserved, RequestData, Answer, NotRun, OutcomeUnknown, CancelRequest>;

/// \brief All that passes between a caller and a daemon.
using CallerMessage = std::variant<FlowMessage, RequestMessage>;

/// \brief One dispatch of a request to a target; chosen by the owner, never used twice.
using AttemptId = StrongId<struct AttemptIdTag>;

/// \brief First message on a connection to a target, again every few seconds.
struct LinkHello
{
    ServiceId service;
    TargetId target;
    Generation generation;
};

/// \brief Who the target says it is; it gets no work before this matches.
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

/// \brief The attempt ran to its end.
struct AttemptDone
{
    AttemptId attempt;
    LoadReport load;
    std::string payload;
};

/// \brief The target's own word that the attempt did not run and will not.
struct AttemptNotRun
{
    AttemptId attempt;
    LoadReport load;
    RefusalCause cause = RefusalCause::TargetShed;
};

/// \brief All that passes over the TCP connection between an owner and a target.
using LinkMessage
    = std::variant<LinkHello, LinkHelloReply, Dispatch, CancelAttempt, AttemptDone, AttemptNotRun>;

} // namespace baobabtrail
