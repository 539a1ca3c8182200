#pragma once

#include "core/messages/request.h"
#include "core/time.h"

#include <string>
#include <variant>

namespace baobabtrail {

/// \brief The owner has a place for the request, the request itself has not come yet.
struct ReservedState
{
    TimePoint lapsesAt;
};
/// \brief The request is here and waits for a slot.
struct QueuedState
{
    std::string payload;
};
/// \brief The request was sent to a target.
struct RunningState
{
    AttemptId attempt;
    Generation generation;
    TimePoint since;
    std::string payload; ///< Kept for another attempt after an authoritative "not run".
    bool cancelled = false;
};
/// \brief The answer, as long as the caller may ask for it again.
struct AnsweredState
{
    std::string payload;
    std::uint32_t resends = 0;
};
struct NotRunState
{
    NotRun reply;
};
struct UnknownState
{
    OutcomeUnknown reply;
};

using RequestState = std::variant<ReservedState, QueuedState, RunningState, AnsweredState,
                                  NotRunState, UnknownState>;

/// \brief What the owner knows of one request.
struct RequestRecord
{
    RequestId id;
    ReservationToken token;
    Endpoint caller; ///< Where the caller was last heard from.
    TargetId target; ///< Holds the place, or runs it.
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false;
    bool mayHaveRun = false; ///< An earlier attempt may have run: "not run" can't be said any more.
    std::uint32_t attempts = 0;
    std::string workspace;
    TimePoint reservedAt;
    TimePoint dispatchedAt; ///< Of the first attempt.
    TimePoint dueAt;        ///< When time alone changes the state.
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
