#pragma once

#include "core/messages/request.h"
#include "core/time.h"

#include <string>
#include <variant>

namespace baobabtrail {

/// \brief A place in a target's queue is reserved; the data of the request has not arrived yet.
struct ReservedState
{
    TimePoint lapsesAt;
};
/// \brief The request has arrived and waits for a free slot.
struct QueuedState
{
    std::string payload;
};
/// \brief The request was dispatched to a target.
struct RunningState
{
    AttemptId attempt;
    Generation generation;
    TimePoint since;
    std::string payload; ///< For a retry, once the target has said that it did not run it.
    bool cancelled = false;
};
/// \brief The target answered; the answer is retained for retransmissions.
struct AnsweredState
{
    std::string payload;
    std::uint32_t resends = 0;
};
/// \brief The request did not run, and won't.
struct NotRunState
{
    NotRun reply;
};
/// \brief Nobody can say whether the request ran.
struct UnknownState
{
    OutcomeUnknown reply;
};

using RequestState = std::variant<ReservedState, QueuedState, RunningState, AnsweredState,
                                  NotRunState, UnknownState>;

/// \brief The state of one request at its owner.
struct RequestRecord
{
    RequestId id;
    ReservationToken token;
    Endpoint caller; ///< Source address of the caller's last message.
    TargetId target; ///< Where the request is queued or runs.
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false;
    bool mayHaveRun = false; ///< An earlier attempt may have run: "not run" would be wrong.
    std::uint32_t attempts = 0;
    std::string workspace;
    TimePoint reservedAt;
    TimePoint dispatchedAt; ///< Of the first attempt.
    TimePoint dueAt;        ///< When the state times out.
    RequestState state;

    [[nodiscard]] bool waits() const noexcept
    {
        return std::holds_alternative<ReservedState>(state)
               || std::holds_alternative<QueuedState>(state);
    }
    [[nodiscard]] bool inProgress() const noexcept
    {
        return waits() || std::holds_alternative<RunningState>(state);
    }
};

} // namespace baobabtrail
