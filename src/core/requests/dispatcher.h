#pragma once

#include "core/limits/retry_budget.h"
#include "core/requests/outcomes.h"
#include "core/requests/target_queue.h"
#include "core/traffic/target_links.h"

#include <map>
#include <optional>
#include <string>

namespace baobabtrail {

/// \brief Queues requests at the targets of this daemon, dispatches them as slots become free, and
/// handles the results of the attempts.
class Dispatcher
{
public:
    Dispatcher(NodeContext &context, RequestTable &table, Outcomes &outcomes, TargetLinks &links);

    /// \brief Applies a new configuration or membership view.
    void configure(Turn &turn);

    /// \return Whether a request reserved now could be dispatched without waiting.
    [[nodiscard]] bool hasFreeSlot(TargetId target, TimePoint now) const;
    /// \brief Queues a request, which is not in the table yet, at a target.
    /// \return The reason and the time to retry after, or nothing where it was queued.
    [[nodiscard]] std::optional<QueueRefusal> admit(TargetId target, const QueueEntry &entry,
                                                    Turn &turn);
    /// \brief Handles the arrival of the data of a reserved request.
    void requestArrived(RequestRecord &record, std::string payload, Turn &turn);
    /// \brief Removes a waiting request from the queue of its target.
    void removeFromQueue(const RequestRecord &record);
    /// \brief Asks the target to cancel a running attempt.
    void cancelAttempt(RequestRecord &record, Turn &turn);
    /// \brief Ends a running request, whose deadline has passed, with an unknown outcome.
    void abandon(RequestRecord &record, Turn &turn);

    void attemptDone(TargetId target, AttemptDone done, Turn &turn);
    void attemptNotRun(TargetId target, const AttemptNotRun &report, Turn &turn);
    void linkBroken(TargetId target, Turn &turn);
    /// \brief Handles the cut of a target: ends the requests that run on it, and moves those in its
    /// queue to other targets.
    void targetCut(TargetId target, Turn &turn);
    /// \brief Dispatches as many queued requests as the target has free slots, and steals from the
    /// queues of other targets of the service where slots are left.
    void dispatchQueued(TargetId target, Turn &turn);

    /// \brief Moves requests away from targets that have been unavailable for some time, and
    /// dispatches what can start now.
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;
    /// \return Whether a request is queued for the target or runs on it.
    [[nodiscard]] bool inUse(TargetId target) const noexcept;

private:
    /// \brief The queue of one target, and what runs there.
    struct TargetWork
    {
        ServiceId service;
        TargetQueue queue;
        std::uint32_t running = 0;
        std::uint32_t slots = 1;
        std::uint32_t workOfOtherOwners = 0; ///< Attempts of other daemons, by its last report.
        Duration meanRunTime{0};             ///< Moving average of finished attempts.
        std::optional<TimePoint> unavailableSince; ///< Its queue waits since then.
    };

    [[nodiscard]] RequestRecord *popNext(TargetWork &work, Turn &turn);
    void stealFromOthers(TargetId target, TargetWork &work, Turn &turn);
    void dispatchOnIdleTargets(TargetId target, Turn &turn);
    [[nodiscard]] bool mayStart(TargetId target, const TargetWork &work,
                                TimePoint now) const noexcept;
    /// \return The target's mean run time; where it has none yet, the longest of the service's
    /// other targets.
    [[nodiscard]] Duration expectedRunTime(const TargetWork &work) const noexcept;
    /// \return Run time of a request dispatched now, plus its wait behind attempts of other
    /// daemons.
    [[nodiscard]] Duration expectedResponseTime(const TargetWork &work) const noexcept;
    /// \return Whether the target was drained, evacuated, cut or removed, or is owned by another
    /// daemon now.
    [[nodiscard]] bool takesNoNewWork(TargetId target) const noexcept;
    void dispatch(RequestRecord &record, TargetWork &work, Turn &turn);
    void endAttempt(RequestRecord &record, AttemptEnd end, const LoadReport *load, Turn &turn);
    /// \return Whether the request was queued for another attempt.
    [[nodiscard]] bool retry(RequestRecord &record, Turn &turn);
    [[nodiscard]] std::optional<TargetId> anotherTarget(const RequestRecord &record, Turn &turn);
    void moveTo(RequestRecord &record, TargetId target, RequestState state, Turn &turn);
    void drainQueue(TargetId target, Turn &turn);
    void publishQueueLength(TargetId target, const TargetWork &work) noexcept;
    [[nodiscard]] RetryBudget &budget(const RequestRecord &record);
    [[nodiscard]] QueueEntry entryOf(const RequestRecord &record) const;

    NodeContext &m_context;
    RequestTable &m_table;
    Outcomes &m_outcomes;
    TargetLinks &m_links;
    std::map<TargetId, TargetWork> m_work;
    std::map<std::string, RetryBudget> m_budgets;
    std::uint64_t m_nextAttempt;
};

} // namespace baobabtrail
