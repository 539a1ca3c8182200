#pragma once

#include "core/config/config.h"
#include "core/load.h"
#include "core/membership/view.h"
#include "core/notice.h"
#include "core/random.h"
#include "core/targets/target_status.h"
#include "core/time.h"

#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief Target chosen for a new flow or request.
struct PlacementChoice
{
    TargetId target;
    bool own = false; ///< This daemon owns the target.
    Endpoint owner;   ///< Peer address of the target's owner, to hand over to; for a target in
                      ///< another domain, of its owner there according to the view.
};

/// \brief How an attempt at a target ended.
enum class AttemptEnd {
    Done,
    Shed,      ///< The target refused it without running it.
    TimedOut,  ///< The deadline passed while it ran.
    Cancelled, ///< Withdrawn before it started.
    LinkBroken,
};

/// \brief State of every configured target: load balancing among them, and the health and the
/// concurrency limit of those that this daemon owns.
///
/// Used by a TrafficNode; time and random numbers are passed in.
class TargetTable
{
public:
    TargetTable();
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /// \brief Applies a new configuration or view; retains the state of targets that stay.
    void configure(ConfigPtr config, ViewPtr view, TimePoint now);

    // At the daemon that places a flow or request.

    /// \brief Chooses a target for a new flow, by rendezvous hashing of the flow's id, so that an
    /// open that is sent twice mostly gets the same target.
    /// \param attempt Number of the caller's attempt; higher ones select other candidates.
    /// \param declined Targets whose owners have declined this flow already.
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForFlow(ServiceId service, FlowId flow, std::uint32_t attempt,
                  const std::vector<LoadHint> &declined, TimePoint now, Random &random);

    /// \brief Chooses a target for a request: the least loaded of three random ones, by their last
    /// known loads, or a target of this daemon that is less loaded still.
    /// \return Nothing where this daemon owns the target that declined last and no other is known
    /// to be less loaded: the request should then wait there instead of being forwarded.
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForRequest(ServiceId service, const RequestId &request,
                     const std::vector<LoadHint> &declined, TimePoint now, Random &random);

    /// \brief Applies a load that another daemon reported with an answer.
    void applyHint(const LoadHint &hint, TimePoint now);

    // At the owner of a target.

    [[nodiscard]] bool owns(TargetId target) const noexcept;
    /// \return Owned targets, ordered by id.
    [[nodiscard]] std::vector<TargetId> owned() const;
    /// \return Whether the target may take new work at all: verified, not ejected, not leaving.
    [[nodiscard]] bool takesWork(TargetId target, TimePoint now) const noexcept;
    /// \return Whether one more attempt may start now; loadOf() tells whether one more request
    /// would wait behind others.
    [[nodiscard]] bool slotFree(TargetId target, TimePoint now) const noexcept;
    /// \return Whether one more flow may be placed there now; also while it warms up, and as a
    /// probe while it is ejected.
    [[nodiscard]] bool takesFlow(TargetId target, TimePoint now) const noexcept;
    [[nodiscard]] LoadHint loadOf(TargetId target, TimePoint now) const noexcept;
    [[nodiscard]] std::optional<TargetStatus> status(TargetId target, TimePoint now) const;

    /// \brief The target answered a LinkHello.
    void linkVerified(TargetId target, ServiceId says, const LoadReport &load, TimePoint now);
    void linkLost(TargetId target, TimePoint now);
    /// \return Time to wait before a lost link is retried: exponential back-off with jitter.
    [[nodiscard]] Duration linkRetryDelay(TargetId target, Random &random) const;

    /// \brief Sets how many requests wait for the target at this owner (reserved or queued).
    void setWaiting(TargetId target, std::uint32_t waiting) noexcept;
    void attemptStarted(TargetId target, TimePoint now);
    /// \param runTime Time from the dispatch to the end. \param load The target's report, or null.
    void attemptEnded(TargetId target, AttemptEnd end, Duration runTime, const LoadReport *load,
                      TimePoint now);
    void flowOffered(TargetId target, TimePoint now);
    void flowAccepted(TargetId target, const LoadReport &load, TimePoint now);
    void flowRefused(TargetId target, const LoadReport *load, TimePoint now);
    /// \brief The target did not answer an open within the timeout.
    void flowUnanswered(TargetId target, TimePoint now);
    /// \brief The target sent anything else, such as the answer to a keep-alive.
    void heardFrom(TargetId target, TimePoint now);

    // Silent flows, on any daemon.

    /// \brief Decides whether a caller whose flow is silent should reopen it.
    ///
    /// A budget limits the rate of reopenings: when a target dies, its flows must not all be
    /// reopened at once.
    /// \param unanswered Keep-alives in a row that stayed unanswered.
    /// \return Time to wait before reopening, or nothing where the flow should stay as it is.
    [[nodiscard]] std::optional<Duration> reopenDelay(TargetId target, std::uint32_t unanswered,
                                                      TimePoint now, Random &random);

    /// \brief Runs timed work: probes, back-off. \param notices Receives lines for the log.
    void advance(TimePoint now, std::vector<Notice> &notices);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
