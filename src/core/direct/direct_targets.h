#pragma once

#include "core/direct/cold_target_limiter.h"
#include "core/direct/label_table.h"
#include "core/direct/mechanisms.h"
#include "core/direct/probe_scheduler.h"
#include "core/directory/directory.h"
#include "core/overload/overload_settings.h"
#include "core/random.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabtrail {

/// \brief Why a target is thought of as it is.
enum class DirectTargetState {
    Healthy,
    Suspect,   ///< Flows got no answer from it, or connections failed; no sign of life since.
    Draining,  ///< Leaves; takes no new flow.
    Evacuated, ///< The operator wants its failure domain empty; takes no new flow.
    Lapsed,    ///< Its registration went with an outage of the store; it may come back.
    Gone,      ///< No longer registered; open flows of its own still find it.
    Refused,   ///< Its registration can't be read; takes no new flow until one can be.
};

/// \brief Bounds of what is concluded from segments that pass.
struct DirectSettings
{
    /// Flows that wait for the same silent target before it gets no new one. One lost packet is
    /// usual (a link may lose 2.5%), two in a row without any answer between are not.
    std::uint32_t suspectAfter = 2;
    /// A suspect gets one new flow this often, to find out whether it is back.
    Duration trialEvery = 2s;
    /// A lapsed registration counts until the store has answered for this long without it: targets
    /// that live are back within two seconds of its return.
    Duration lapsedFor = 2500ms;
    /// Longest that a departed target's flows are still forwarded to it; flows are at most this
    /// old.
    Duration flowLifetime = 60s;
    /// Flows whose load is counted at once; memory about 128 bytes each.
    std::size_t maxFlows = 65536;
    /// A flow without a segment for this long is forgotten where the configuration names no time.
    Duration idleTimeout = 15s;
    /// Requests in flight for each slot, as this daemon counts them, above which a target of
    /// another failure domain is taken instead. Own counts are a part of the truth: the other
    /// daemons of the domain place as much.
    double spillAbove = 0.75;
    /// Weight of an open flow beside a request in flight: a feed asks about once a second, and an
    /// answer takes some 25 to 60 ms.
    double openFlowWeight = 0.04;
    OverloadSettings overload{};
    Mechanisms mechanisms{}; ///< What an experiment leaves out.
};

/// \brief What the store last said of all targets, and whether it could be told of them.
struct StoreStatus
{
    std::optional<TimePoint> confirmedAt; ///< Nothing where it can't be vouched for.
    std::optional<TimePoint> returnedAt;  ///< When the store came back from being away, last.
};

/// \brief What is known of a target whose flows pass through this daemon.
struct DirectTarget
{
    RegisteredTarget entry;
    bool local = false;     ///< In this daemon's own failure domain.
    bool evacuated = false; ///< Its failure domain is.
    bool refused = false;   ///< \a entry is the last one that could be read; a newer one can't.
    /// Counts the starts under this id that were seen; a flow belongs to one of them.
    std::uint32_t incarnation = 0;
    TimePoint coldUntil{}; ///< It bears little until then. \see ColdLimit
    std::optional<TimePoint> lapsedAt;
    std::optional<TimePoint> goneAt;

    std::uint32_t openFlows = 0;
    std::uint32_t opening = 0;  ///< First segments without an answer so far.
    std::uint32_t inFlight = 0; ///< Requests without an answer so far.
    std::uint32_t held = 0;     ///< Requests that wait here to go there.

    /// \return What this daemon has put on the target. What is held does not count: new flows
    /// went further away for it, and more daemons shared each target: 0.36 in time instead of 0.43
    /// at three times the usual traffic.
    [[nodiscard]] std::uint32_t load() const noexcept { return inFlight + opening; }

    std::optional<TimePoint> heardAt; ///< Last sign that it lives.
    std::uint32_t unanswered = 0;     ///< Flows that wait in vain since that sign.
    TimePoint unansweredSince{};
    std::optional<TimePoint> trialAt; ///< Last flow that was offered while it was suspect.
    bool probePending = false;        ///< Left a flow without a sign, and is being tried.
    std::uint32_t probesFailed = 0;   ///< In a row, since the last sign that it lives.
    std::uint32_t probesTimedOut = 0; ///< Of these, the last ones that got no answer at all.
    TimePoint probedAt{};             ///< End of the last probe.
    double answerMicros = 0;          ///< Moving mean of the time to the answer; 0 for none yet.
    TimePoint answeredAt{};
};

/// \brief All targets that the directory names, and the choice among them.
class DirectTargets
{
public:
    DirectTargets(std::string domain, DirectSettings settings)
        : m_domain(std::move(domain))
        , m_settings(settings)
    {
    }

    /// \return Whether the target has started again under its id: what was learnt of it is
    /// forgotten then, and its flows are gone.
    bool put(const RegisteredTarget &entry, TimePoint now);
    /// \brief What the targets of each service bear while they are cold.
    void setColdLimits(std::map<ServiceId, ColdLimit> limits) { m_coldLimits = std::move(limits); }
    /// \brief Which daemons open flows at cold targets. \see ColdTargetLimiter::setOwners
    void setColdOwners(std::size_t owners, bool isOwner, TimePoint now)
    {
        m_cold.setOwners(owners, isOwner, now);
    }
    /// \brief The target's registration was replaced by one that can't be read.
    void refuse(TargetId target);
    /// \param lapsed The store was away a moment ago: the target may live on.
    void remove(TargetId target, bool lapsed, TimePoint now);
    /// \brief A failure domain gets no new flows from now on, or gets them again.
    /// \return Whether that is new.
    bool setEvacuated(const std::string &domain, bool evacuated, TimePoint now);
    /// \return Failure domains that get no new flows, and since when this daemon knows.
    [[nodiscard]] const std::map<std::string, TimePoint> &evacuatedDomains() const noexcept
    {
        return m_evacuated;
    }
    /// \return Flows of this daemon at the domain's targets.
    [[nodiscard]] std::uint64_t openFlowsIn(const std::string &domain) const;
    /// \brief Forgets targets that are gone for longer than a flow lives, and ends lapses.
    /// \param ended Called for each target whose lapse has ended.
    void expire(TimePoint now, const StoreStatus &store,
                const std::function<void(const DirectTarget &)> &ended);

    [[nodiscard]] DirectTarget *find(TargetId target) noexcept;
    [[nodiscard]] const DirectTarget *find(TargetId target) const noexcept;
    [[nodiscard]] DirectTarget *find(FlowLabel label) noexcept;
    [[nodiscard]] std::optional<FlowLabel> labelOf(TargetId target) const
    {
        return m_labels.labelOf(target);
    }
    [[nodiscard]] const std::unordered_map<TargetId, DirectTarget> &all() const noexcept
    {
        return m_targets;
    }

    /// \brief Chooses the target of a new flow: the least loaded of the own failure domain that
    /// answers, else one of another domain, else whatever there is.
    /// \param except A target that has just proved silent; null id for none.
    /// \return The target, or null where the service has none that takes flows.
    [[nodiscard]] DirectTarget *choose(ServiceId service, TargetId except, TimePoint now,
                                       Random &random);

    [[nodiscard]] DirectTargetState state(const DirectTarget &target) const noexcept;
    /// \return Whether it is suspect, also where it leaves for another cause besides.
    [[nodiscard]] bool isSuspect(const DirectTarget &target) const noexcept;

    // Evidence, from segments that pass.

    /// \brief A connection to the target was tried.
    /// \return Whether that changed what is believed of it.
    bool probed(DirectTarget &target, ProbeOutcome outcome, TimePoint now) noexcept;
    /// \brief A silent target of the failure domain answers again: the others that are silent get
    /// one flow each to find out.
    void allowTrialFlows(const std::string &domain, TimePoint now) noexcept;
    /// \return Whether enough probes in a row have failed to be believed.
    [[nodiscard]] bool probeFailureConfirmed(const DirectTarget &target) const noexcept;
    /// \return Whether it is dark for now, so that its open flows may be ended: a caller that
    /// repeats itself is one ground, and probes that nobody answered are the other. One that
    /// refuses connections may be full, and serve the flows that it has.
    [[nodiscard]] bool isUnreachable(const DirectTarget &target) const noexcept;
    /// \return Whether this ended a suspicion.
    bool heard(DirectTarget &target, TimePoint now) noexcept;
    /// \brief The target answered a request. \param took From the last byte of the request.
    void answered(DirectTarget &target, Duration took, TimePoint now) noexcept;
    /// \return Whether this made the target suspect.
    bool unanswered(DirectTarget &target, TimePoint now) noexcept;

private:
    [[nodiscard]] bool has(Mechanism mechanism) const noexcept
    {
        return m_settings.mechanisms.has(mechanism);
    }
    [[nodiscard]] bool takesFlows(const DirectTarget &target, TimePoint now) const noexcept;
    /// \return The bound that holds for the target now; null for none.
    [[nodiscard]] const ColdLimit *coldLimit(const DirectTarget &target,
                                             TimePoint now) const noexcept;
    /// \return Whether the target could have registered again, and has not.
    [[nodiscard]] bool stayedAway(const DirectTarget &target,
                                  const StoreStatus &store) const noexcept;
    /// \brief The target may have started anew, unseen.
    void mayBeCold(DirectTarget &target, TimePoint now) noexcept;
    /// \brief One flow finds out whether the target is back.
    void allowTrialFlow(DirectTarget &target, TimePoint now) noexcept;
    [[nodiscard]] bool admits(const DirectTarget &target, TimePoint now) const;
    [[nodiscard]] double cost(const DirectTarget &target, double averageMicros,
                              TimePoint now) const noexcept;
    [[nodiscard]] double averageAnswer(const std::vector<DirectTarget *> &among) const noexcept;
    /// \brief Targets of one failure domain, or of all others, that may get a new flow.
    struct Candidates
    {
        std::vector<DirectTarget *> known;  ///< Registered, and not silent.
        std::vector<DirectTarget *> lapsed; ///< Their registrations went with an outage.

        void clear()
        {
            known.clear();
            lapsed.clear();
        }
    };

    /// \return Those among which to choose.
    [[nodiscard]] std::vector<DirectTarget *> &eligible(Candidates &candidates) const;
    [[nodiscard]] DirectTarget *leastLoaded(const std::vector<DirectTarget *> &among, TimePoint now,
                                            Random &random) const;

    std::string m_domain;
    DirectSettings m_settings;
    LabelTable m_labels;
    ColdTargetLimiter m_cold;
    std::map<ServiceId, ColdLimit> m_coldLimits;
    std::map<std::string, TimePoint> m_evacuated; ///< Failure domains.
    std::unordered_map<TargetId, DirectTarget> m_targets;
    std::unordered_map<ServiceId, std::vector<TargetId>> m_services;
    Candidates m_sameDomain; ///< Kept between calls to save allocations.
    Candidates m_otherDomains;
    std::vector<DirectTarget *> m_lastResort;
};

} // namespace baobabtrail
