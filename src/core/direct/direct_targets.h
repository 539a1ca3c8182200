#pragma once

#include "core/direct/cold_target_limiter.h"
#include "core/direct/label_table.h"
#include "core/direct/mechanisms.h"
#include "core/direct/probe_scheduler.h"
#include "core/directory/directory.h"
#include "core/overload/overload_settings.h"
#include "core/placement/placement_settings.h"
#include "core/placement/service_plan.h"
#include "core/random.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabtrail {

/// \brief State of a target as this daemon concludes it.
enum class DirectTargetState {
    Healthy,
    /// Flows got no answer from it, probes failed, or other daemons report it; it has not responded
    /// since.
    Suspect,
    Draining,  ///< Shuts down or is drained; takes no new flow.
    Evacuated, ///< The operator evacuates its failure domain; takes no new flow.
    Lapsed,    ///< Its registration vanished with a store outage; it may still be valid.
    Gone,      ///< No longer registered; its open flows are still forwarded to it.
    Refused,   ///< Its registration is unreadable; takes no new flow until a valid one.
};

/// \brief Settings for the placement of flows and the health of targets.
struct DirectSettings
{
    /// Flows that wait for an answer of the same target before it becomes suspect and gets no new
    /// one. One lost packet is normal (a link may lose 2.5%); two in a row without any answer in
    /// between are not.
    std::uint32_t suspectAfter = 2;
    /// A suspect target gets one new flow per such interval, to detect its recovery.
    Duration trialEvery = 2s;
    /// A lapsed registration may still be valid until the store has answered for this long without
    /// it: live targets re-register within two seconds of the store's return.
    Duration lapsedFor = 2500ms;
    /// The flows of a deregistered target are forwarded to it for this long; flows live no longer
    /// than that.
    Duration flowLifetime = 60s;
    /// Bound on tracked flows; each takes about 128 bytes of memory. Others are forwarded by label.
    std::size_t maxFlows = 65536;
    /// A flow without a segment for this long is evicted, where the configuration names no time.
    Duration idleTimeout = 15s;
    /// Requests in flight per slot, as counted by this daemon, above which new flows spill over to
    /// another failure domain. The count is only a part of the target's load, as the other daemons
    /// of the domain place as much.
    double spillAbove = 0.75;
    /// Load of an open flow relative to a request in flight: a feed sends about one request a
    /// second, and an answer takes some 25 to 60 ms.
    double openFlowWeight = 0.04;
    OverloadSettings overload{};
    PlacementSettings placement{};
    Mechanisms mechanisms{}; ///< All but those that an experiment disables.
};

/// \brief When the store last confirmed the list of targets, and when targets could register.
struct StoreStatus
{
    std::optional<TimePoint> confirmedAt; ///< Nothing where it is not confirmed.
    std::optional<TimePoint> returnedAt;  ///< End of the store's last outage.
};

/// \brief Registration, load and health of a target, as seen by this daemon.
struct DirectTarget
{
    RegisteredTarget entry;
    bool local = false;     ///< In the failure domain of this daemon.
    bool evacuated = false; ///< Its failure domain is evacuated.
    bool refused = false;   ///< A newer registration than \a entry is unreadable.
    bool reserved = false;  ///< For urgent requests only. \see Reservation
    /// Counts the restarts under this id that were seen; a flow belongs to one incarnation.
    std::uint32_t incarnation = 0;
    TimePoint coldUntil{}; ///< Opens at a limited rate until then. \see WarmUpLimit
    std::optional<TimePoint> lapsedAt;
    std::optional<TimePoint> goneAt;

    std::uint32_t openFlows = 0;
    std::uint32_t opening = 0;  ///< Flows whose opening segment is not answered yet.
    std::uint32_t inFlight = 0; ///< Requests that are not answered yet.
    std::uint32_t held = 0;     ///< Requests that this daemon holds for it.

    /// \return Requests and openings that this daemon has sent to the target. Held requests don't
    /// count: where they did, new flows spilled over to other domains and more daemons shared each
    /// target, so that at three times the usual traffic a share of 0.36 of the requests was in time
    /// instead of 0.43.
    [[nodiscard]] std::uint32_t load() const noexcept { return inFlight + opening; }

    std::optional<TimePoint> heardAt; ///< Last response that was seen.
    std::uint32_t unanswered = 0;     ///< Flows that wait for a response since then.
    TimePoint unansweredSince{};
    std::optional<TimePoint> trialAt; ///< Last trial flow while it was suspect.
    bool probePending = false;        ///< A flow got no response; a probe is due.
    std::uint32_t probesFailed = 0;   ///< In a row, since the last response.
    std::uint32_t probesTimedOut = 0; ///< Of these, the last ones in a row that timed out.
    bool reportedSilent
        = false;             ///< By enough daemons of this failure domain. \see EvidenceExchange
    TimePoint probedAt{};    ///< End of the last probe.
    double answerMicros = 0; ///< Moving average of answer times; 0 for none yet.
    TimePoint answeredAt{};
};

/// \brief A new flow that needs a target.
struct FlowRequest
{
    ServiceId service;
    std::uint32_t priority = RequestPolicy::LowestPriority; ///< Of its route.
    TargetId except{}; ///< Target that the flow moves away from; null id for none.
};

/// \brief Targets of a service in one failure domain that may get new flows.
struct DomainCapacity
{
    std::size_t targets = 0;
    double slots = 0; ///< Of all these together.
};

/// \brief All targets in the directory: their states, and the choice of one for a new flow.
class DirectTargets
{
public:
    DirectTargets(std::string domain, DirectSettings settings)
        : m_domain(std::move(domain))
        , m_settings(settings)
    {
    }

    /// \brief Adds or updates a registration.
    /// \return Whether the target has restarted under the same id: its flows are gone, and its
    /// measurements are reset.
    bool put(const RegisteredTarget &entry, TimePoint now);
    /// \brief Sets the rates of new flows that cold targets accept, by service.
    void setColdLimits(std::map<ServiceId, WarmUpLimit> limits)
    {
        m_coldLimits = std::move(limits);
    }
    /// \brief Sets the daemons that open flows at cold targets. \see ColdTargetLimiter::setOwners
    void setColdOwners(std::size_t owners, bool isOwner, TimePoint now)
    {
        m_cold.setOwners(owners, isOwner, now);
    }
    /// \brief The target's registration was replaced by an unreadable one.
    void refuse(TargetId target);
    /// \brief The target's registration has vanished.
    /// \param lapsed Whether a store outage may be the cause, so that the target may be alive.
    void remove(TargetId target, bool lapsed, TimePoint now);
    /// \brief Begins or ends the evacuation of a failure domain, which gets no new flows meanwhile.
    /// \return Whether this is a change.
    bool setEvacuated(const std::string &domain, bool evacuated, TimePoint now);
    /// \return Evacuated failure domains, and when this daemon learnt of the evacuation.
    [[nodiscard]] const std::map<std::string, TimePoint> &evacuatedDomains() const noexcept
    {
        return m_evacuated;
    }
    /// \return Number of targets by failure domain, departed ones included.
    [[nodiscard]] const std::map<std::string, std::size_t> &targetsByDomain() const noexcept
    {
        return m_byDomain;
    }
    /// \return A random target of the service in the local failure domain that responds, as far as
    /// is known; null where a few tries find none.
    [[nodiscard]] const DirectTarget *drawResponsive(ServiceId service, Random &random) const;
    /// \return Open flows of this daemon at the domain's targets.
    [[nodiscard]] std::uint64_t openFlowsIn(const std::string &domain) const;
    /// \brief Evicts targets that are gone for longer than a flow lives, and declares lapsed ones
    /// gone that have not re-registered in time.
    /// \param ended Called for each lapsed target that is declared gone.
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

    /// \brief Chooses the target of a new flow: the least loaded healthy one of the local failure
    /// domain, else one of another domain, else a suspect or lapsed one. A plan may name another
    /// domain to begin with. \see ServicePlan
    /// \return The target, or null where the service has none that takes flows.
    [[nodiscard]] DirectTarget *choose(const FlowRequest &request, TimePoint now, Random &random);

    /// \return Targets that choose() has looked at so far, all calls together.
    [[nodiscard]] std::uint64_t examined() const noexcept { return m_examined; }

    /// \brief Replaces all plans. \return The former ones.
    std::map<ServiceId, ServicePlan> setPlans(std::map<ServiceId, ServicePlan> plans,
                                              TimePoint now);
    /// \return The plan of the service; an empty one where it has none.
    [[nodiscard]] const ServicePlan &planOf(ServiceId service) const noexcept;
    /// \return What the service's targets that may get new flows offer, by failure domain.
    [[nodiscard]] std::map<std::string, DomainCapacity> capacityOf(ServiceId service,
                                                                   TimePoint now) const;

    [[nodiscard]] DirectTargetState state(const DirectTarget &target) const noexcept;
    /// \return Whether it gives no answers, also where state() names another state, such as
    /// Draining.
    [[nodiscard]] bool isSuspect(const DirectTarget &target) const noexcept;

    // Evidence of health, from probes and forwarded segments.

    /// \brief A probe of the target has ended.
    /// \return Whether the target has become suspect or has ceased to be.
    bool probed(DirectTarget &target, ProbeOutcome outcome, TimePoint now) noexcept;
    /// \brief A target of the failure domain has recovered: the others whose probes have failed get
    /// one trial flow each.
    void allowTrialFlows(const std::string &domain, TimePoint now) noexcept;
    /// \return Whether enough probes in a row have failed to rule out a lost packet.
    [[nodiscard]] bool probeFailureConfirmed(const DirectTarget &target) const noexcept;
    /// \return Whether probes of the target time out. This and a caller that retransmits together
    /// are grounds to end an open flow. A target that refuses connections may be full and still
    /// serve its open flows.
    [[nodiscard]] bool isUnreachable(const DirectTarget &target) const noexcept;
    /// \brief Enough daemons report the target silent, or no longer.
    /// \return Whether the target has become suspect or has ceased to be.
    bool setReported(DirectTarget &target, bool silent, TimePoint now) noexcept;
    /// \brief The target has responded on a flow. \return Whether it ceases to be suspect.
    bool heard(DirectTarget &target, TimePoint now);
    /// \brief The target has answered a request.
    /// \param took Time since the last byte of the request.
    void answered(DirectTarget &target, Duration took, TimePoint now) noexcept;
    /// \brief A flow got no response from the target. \return Whether it becomes suspect.
    bool unanswered(DirectTarget &target, TimePoint now) noexcept;

private:
    [[nodiscard]] bool has(Mechanism mechanism) const noexcept
    {
        return m_settings.mechanisms.has(mechanism);
    }
    [[nodiscard]] bool takesFlows(const DirectTarget &target, TimePoint now) const noexcept;
    /// \return The rate limit that applies to the target now; null for none.
    [[nodiscard]] const WarmUpLimit *coldLimit(const DirectTarget &target,
                                               TimePoint now) const noexcept;
    /// \return Whether the target had the time to re-register after the outage, and has not.
    [[nodiscard]] bool stayedAway(const DirectTarget &target,
                                  const StoreStatus &store) const noexcept;
    /// \brief Treats the target as cold: it may have restarted unnoticed.
    void mayBeCold(DirectTarget &target, TimePoint now) noexcept;
    /// \brief Makes the target suspect and due for one trial flow, which shows whether it is back.
    void allowTrialFlow(DirectTarget &target, TimePoint now) noexcept;
    [[nodiscard]] bool admits(const DirectTarget &target, TimePoint now) const;
    [[nodiscard]] double cost(const DirectTarget &target, double averageMicros,
                              TimePoint now) const noexcept;
    [[nodiscard]] double averageAnswer(const std::vector<DirectTarget *> &among) const noexcept;
    /// \brief Marks the targets that the plan reserves, nearly the same ones at all daemons.
    void markReserved(ServiceId service, const ServicePlan &plan, TimePoint now);
    /// \brief Keeps the reserved targets of each failure domain for the requests of their priority,
    /// as long as that leaves a target there.
    void applyReservations(const FlowRequest &request, double drawn,
                           std::vector<DirectTarget *> &among) const;
    /// \brief Targets of a service in one failure domain.
    struct DomainTargets
    {
        std::vector<DirectTarget *> all;
        std::vector<DirectTarget *> responsive; ///< That responded lately, each once.
        std::size_t oldest = 0;                 ///< Of these, the next to be replaced.
    };
    /// \brief Targets of a service by failure domain.
    using ServiceTargets = std::map<std::string, DomainTargets>;
    /// \brief A choice that is being made.
    struct Choice
    {
        const FlowRequest &request;
        const ServiceTargets &targets;
        /// Random number from 0 to 1; decides whether an urgent flow uses reserved targets alone.
        /// \see Reservation::share
        double drawn = 0;
        TimePoint now{};
        Random &random;
    };
    void list(DirectTarget &target);
    void unlist(DirectTarget &target);
    /// \brief Remembers the target as one that responds.
    void noteResponsive(DirectTarget &target);
    /// \return The least loaded target of the failure domain that the plan draws; null where it
    /// draws none, or one without a target.
    [[nodiscard]] DirectTarget *chooseByShares(const Choice &choice);
    /// \return The least loaded target of the local failure domain, or of another one where this
    /// daemon alone keeps the local one busy.
    [[nodiscard]] DirectTarget *chooseByOwnCounts(const Choice &choice);
    /// \return The least loaded target of those in the domains that \a includes selects.
    [[nodiscard]] DirectTarget *
    chooseIn(const Choice &choice, const std::function<bool(const std::string &domain)> &includes);
    /// \brief Sorts targets of one failure domain into the candidates for a new flow; where there
    /// are many, a random few of them.
    void examine(const Choice &choice, const DomainTargets &targets);
    void examine(const Choice &choice, DirectTarget &target);
    /// \brief Targets that may get a new flow.
    struct Candidates
    {
        std::vector<DirectTarget *> known;  ///< Registered, and taking new flows.
        std::vector<DirectTarget *> lapsed; ///< Their registrations vanished with an outage.

        [[nodiscard]] std::size_t size() const noexcept { return known.size() + lapsed.size(); }
        void clear()
        {
            known.clear();
            lapsed.clear();
        }
    };

    /// \brief Adds the lapsed targets to the known ones while they are the majority.
    void addLapsed(Candidates &candidates) const;
    [[nodiscard]] DirectTarget *leastLoaded(const std::vector<DirectTarget *> &among, TimePoint now,
                                            Random &random) const;

    std::string m_domain;
    DirectSettings m_settings;
    LabelTable m_labels;
    ColdTargetLimiter m_cold;
    std::map<ServiceId, WarmUpLimit> m_coldLimits;
    std::map<std::string, TimePoint> m_evacuated; ///< By failure domain.
    std::map<ServiceId, ServicePlan> m_plans;     ///< None of them empty.
    std::unordered_map<TargetId, DirectTarget> m_targets;
    std::unordered_map<ServiceId, ServiceTargets> m_services; ///< Into m_targets.
    std::map<std::string, std::size_t> m_byDomain;            ///< Number of targets.
    Candidates m_candidates; ///< Reused by each choose(), to save allocations.
    std::vector<DirectTarget *> m_lastResort;
    std::uint64_t m_examined = 0;
};

} // namespace baobabtrail
