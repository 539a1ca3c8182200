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

/// \brief Where a new flow or request should go next.
struct PlacementChoice
{
    TargetId target;
    bool own = false; ///< This daemon owns the target.
    Endpoint owner; ///< Peer address to hand over to; where the target is in another domain, of the
                    ///< daemon there that owns it as far as the view shows.
};

/// \brief How an attempt at a target ended.
enum class AttemptEnd {
    Done,
    Shed,      ///< The target said that it did not run it.
    TimedOut,  ///< Deadline passed while it ran.
    Cancelled, ///< Withdrawn before it started.
    LinkBroken,
};

/// \brief State of every target that the configuration names: choice among them, evidence of
/// their health, the concurrency limit of those that this daemon owns.
///
/// Used by a TrafficNode; time and random numbers are passed in.
class TargetTable
{
public:
    TargetTable();
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /// \brief Takes a new configuration or view; evidence of targets that stay is kept.
    void configure(ConfigPtr config, ViewPtr view, TimePoint now);

    // Where an ask arrives.

    /// \brief Chooses a target for a new flow. The candidates come from a hash of the flow, so that
    /// an open that is sent twice mostly finds the same target; \a attempt moves on to others.
    /// \param declined Targets whose owners declined this ask already.
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForFlow(ServiceId service, FlowId flow, std::uint32_t attempt,
                  const std::vector<LoadHint> &declined, TimePoint now, Random &random);

    /// \brief Chooses a target for a request: the least loaded of three, on loads last heard, or an
    /// own target that is less loaded still.
    /// \return Nothing where this daemon owns the target that declined last and no other is known
    /// to be less loaded: the ask had better wait there than be forwarded.
    [[nodiscard]] std::optional<PlacementChoice>
    chooseForRequest(ServiceId service, const RequestId &request,
                     const std::vector<LoadHint> &declined, TimePoint now, Random &random);

    /// \brief Takes in a load that rode on an answer.
    void applyHint(const LoadHint &hint, TimePoint now);

    // At the owner of a target.

    [[nodiscard]] bool owns(TargetId target) const noexcept;
    /// \return Owned targets, in the order of their ids.
    [[nodiscard]] std::vector<TargetId> owned() const;
    /// \return Whether the target may take new work at all: verified, not ejected, not leaving.
    [[nodiscard]] bool takesWork(TargetId target, TimePoint now) const noexcept;
    /// \return Whether one more attempt may start now; loadOf() says whether one more ask would
    /// wait behind others.
    [[nodiscard]] bool slotFree(TargetId target, TimePoint now) const noexcept;
    /// \return Whether one more flow may be placed now, while it warms up or is ejected.
    [[nodiscard]] bool takesFlow(TargetId target, TimePoint now) const noexcept;
    [[nodiscard]] LoadHint loadOf(TargetId target, TimePoint now) const noexcept;
    [[nodiscard]] std::optional<TargetStatus> status(TargetId target, TimePoint now) const;

    /// \brief The target answered a LinkHello.
    void linkVerified(TargetId target, ServiceId says, const LoadReport &load, TimePoint now);
    void linkLost(TargetId target, TimePoint now);
    /// \return How long to wait before a lost link is tried again; grows, with jitter.
    [[nodiscard]] Duration linkRetryDelay(TargetId target, Random &random) const;

    /// \brief Requests that wait at this owner for the target (reserved or queued) changed.
    void setWaiting(TargetId target, std::uint32_t waiting) noexcept;
    void attemptStarted(TargetId target, TimePoint now);
    /// \param runTime From the dispatch to the end. \param load The target's report; null for none.
    void attemptEnded(TargetId target, AttemptEnd end, Duration runTime, const LoadReport *load,
                      TimePoint now);
    void flowOffered(TargetId target, TimePoint now);
    void flowAccepted(TargetId target, const LoadReport &load, TimePoint now);
    void flowRefused(TargetId target, const LoadReport *load, TimePoint now);
    /// \brief An open got no answer in time.
    void flowUnanswered(TargetId target, TimePoint now);
    /// \brief Any other sign of life, such as an answered keep-alive.
    void heardFrom(TargetId target, TimePoint now);

    // Silent flows, on any daemon.

    /// \brief Says whether a caller whose flow is silent should be told to reopen now.
    ///
    /// A budget spreads reopenings: one target's death must not bring all its flows back at once.
    /// \return Time to wait before reopening, or nothing where the flow should wait on.
    [[nodiscard]] std::optional<Duration> reopenDelay(TargetId target, std::uint32_t unanswered,
                                                      TimePoint now, Random &random);

    /// \brief Work that falls due by time: probes, back-off. \param notices Lines for the log.
    void advance(TimePoint now, std::vector<Notice> &notices);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
