#pragma once

#include "core/limits/retry_budget.h"
#include "core/requests/outcomes.h"
#include "core/requests/target_queue.h"
#include "core/traffic/target_links.h"

#include <map>
#include <optional>
#include <string>

namespace baobabtrail {

/// \brief Sends requests to targets when slots are free, and handles how the attempts end.
class Dispatcher
{
public:
    Dispatcher(NodeContext &context, RequestTable &table, Outcomes &outcomes, TargetLinks &links);

    /// \brief Takes a new configuration or view.
    void configure(Turn &turn);

    /// \return Whether a request that is reserved now would find a free slot.
    [[nodiscard]] bool hasFreeSlot(TargetId target, TimePoint now) const;
    /// \brief Takes a place at a target for a request that is not in the table yet.
    [[nodiscard]] std::optional<QueueRefusal> admit(TargetId target, const QueueEntry &entry,
                                                    Turn &turn);
    /// \brief The request itself has come.
    void requestArrived(RequestRecord &record, std::string payload, Turn &turn);
    /// \brief Frees the place of a request that waits.
    void removeFromQueue(const RequestRecord &record);
    /// \brief Tells the target that an attempt is not wanted any more.
    void cancelAttempt(RequestRecord &record, Turn &turn);
    /// \brief The deadline passed while it ran.
    void abandon(RequestRecord &record, Turn &turn);

    void attemptDone(TargetId target, AttemptDone done, Turn &turn);
    void attemptNotRun(TargetId target, const AttemptNotRun &report, Turn &turn);
    void linkBroken(TargetId target, Turn &turn);
    /// \brief The target was cut: ends what runs on it, moves what waits for it.
    void targetCut(TargetId target, Turn &turn);
    /// \brief Starts what may start now.
    void dispatchQueued(TargetId target, Turn &turn);

    /// \brief Moves requests away from targets that have not taken work for a while.
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;
    /// \return Whether a request waits for the target or runs on it.
    [[nodiscard]] bool inUse(TargetId target) const noexcept;

private:
    struct TargetWork
    {
        ServiceId service;
        TargetQueue queue;
        std::uint32_t running = 0;
        std::uint32_t slots = 1;
        std::uint32_t workOfOtherOwners = 0; ///< Work of others at the target, by its last report.
        Duration meanRunTime{0};             ///< Mean time of the last attempts.
        std::optional<TimePoint> unavailableSince; ///< Takes no new work since then.
    };

    [[nodiscard]] RequestRecord *popNext(TargetWork &work, Turn &turn);
    void stealFromOthers(TargetId target, TargetWork &work, Turn &turn);
    void dispatchOnIdleTargets(TargetId target, Turn &turn);
    [[nodiscard]] bool mayStart(TargetId target, const TargetWork &work,
                                TimePoint now) const noexcept;
    /// \return How long a run takes, as the target's last ones did, or the service's others.
    [[nodiscard]] Duration expectedRunTime(const TargetWork &work) const noexcept;
    /// \return How long a request takes that is sent to the target now, its wait there included.
    [[nodiscard]] Duration expectedResponseTime(const TargetWork &work) const noexcept;
    [[nodiscard]] bool takesNoNewWork(TargetId target) const noexcept;
    void dispatch(RequestRecord &record, TargetWork &work, Turn &turn);
    void endAttempt(RequestRecord &record, AttemptEnd end, const LoadReport *load, Turn &turn);
    /// \return Whether the request waits at a target again.
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
