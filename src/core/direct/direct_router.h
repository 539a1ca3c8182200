#pragma once

#include "core/direct/direct_targets.h"
#include "core/direct/probe_scheduler.h"
#include "core/direct/segment.h"
#include "core/directory/directory.h"
#include "core/evidence/probe_share.h"
#include "core/overload/request_gate.h"
#include "core/placement/placement_planner.h"
#include "core/random.h"
#include "core/usage/usage_counter.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Verdict: forward the segment to a target.
struct DeliverSegment
{
    TargetId target;
    Endpoint address;
    FlowLabel label; ///< To be written into the segment.
};
/// \brief Verdict: reset the flow towards its caller.
struct AbortFlow
{
    std::uint32_t sequence = 0; ///< Within the caller's window.
};
/// \brief Verdict: drop the segment without an answer; the caller retransmits it.
struct DropSegment
{
};
/// \brief Verdict: buffer the segment until its request is forwarded or dropped.
/// \see HeldRequestOutcome
struct HoldSegment
{
};
using SegmentVerdict = std::variant<DeliverSegment, AbortFlow, DropSegment, HoldSegment>;

/// \brief A held request is no longer held: its segments are to be forwarded or dropped.
struct HeldRequestOutcome
{
    FlowKey flow;
    bool shouldForward = false; ///< Route its segments now; drop them otherwise.
};

/// \brief A target that is to be probed by a connection.
struct ProbeRequest
{
    TargetId target;
    std::uint32_t incarnation = 0;
    Endpoint address;
    TimePoint startedAt{};
};

/// \brief Decision on a segment, with its cause.
enum class SegmentCause {
    Forwarded,            ///< Forwarded to the target of its flow.
    Placed,               ///< Opens a new flow at the chosen target.
    OpeningRetransmitted, ///< Retransmitted opening, sent to the same target.
    Retransmitted,        ///< Retransmitted on an open flow: its target acknowledged nothing.
    Moved,                ///< Retransmitted opening, sent to another target than before.
    NoRoute,              ///< No service has this address.
    StaleView,    ///< No service has this address in the directory, which may be out of date.
    NoTarget,     ///< The service has no target that takes new flows.
    RouteRemoved, ///< On an open flow to an address whose route was removed.
    TargetGone,   ///< On an open flow of a target that is gone or down and doesn't answer.
    UnknownLabel, ///< The label names no known target.
    Held,         ///< A request on an open flow, held as its target is saturated.
    Absorbed,     ///< Retransmitted bytes of a held request.
    Abandoned,    ///< A held request, dropped as no answer could meet its deadline.
    Expired,      ///< An opening that waited until its caller's next copy. \see placeableUntil
};

/// \brief A decision on a segment, for the log and the metrics.
struct SegmentDecision
{
    SegmentCause cause = SegmentCause::Forwarded;
    const Segment &segment;
    const DirectTarget *target = nullptr; ///< Target of the segment or of its flow; null for none.
    ServiceId service;
};

/// \brief A target's state has changed.
struct TargetStateChange
{
    const DirectTarget &target;
    DirectTargetState state = DirectTargetState::Healthy;
    bool restarted = false; ///< Under the same id: its measurements were reset.
};

/// \brief Kinds of latencies that the daemon measures on flows, by service.
enum class FlowTime {
    Open,   ///< From the opening segment to the first one that shows the flow open.
    Answer, ///< From the last byte of a request until its caller acknowledges the answer.
    Held,   ///< From the first byte of a held request until it was forwarded.
};

/// \brief A latency that was measured on a flow.
struct FlowMeasurement
{
    FlowTime time = FlowTime::Open;
    Duration took{0};
    Duration average{0}; ///< Recent average of the target; 0 where none is known.
    const Segment &segment;
    const DirectTarget &target;
    ServiceId service;
};

/// \brief A target has become saturated, or has ceased to be.
struct SaturationChange
{
    const DirectTarget &target;
    bool saturated = false;
    double window = 0;         ///< Requests of this daemon that it may have in flight.
    Duration averageAnswer{0}; ///< Moving average of answer times that decided.
    ServiceId service;
};

/// \brief Callbacks for the router's decisions; every function may be empty.
struct DirectObserver
{
    std::function<void(const SegmentDecision &)> decided;
    std::function<void(const TargetStateChange &)> stateChanged;
    std::function<void(const SaturationChange &)> saturated;
    std::function<void(const FlowMeasurement &)> measured;
    std::function<void(const PlanChange &)> planChanged;
};

/// \brief Places flows whose targets answer their callers directly (direct server return), and
/// forwards every later segment by its label.
///
/// Only segments from callers pass through here. The state that is tracked per flow serves load
/// accounting and health checks. Forwarding doesn't depend on it: after a restart, or at another
/// daemon, the label alone finds the target.
class DirectRouter
{
public:
    DirectRouter(std::string domain, DirectSettings settings, Random &random,
                 DirectObserver observer);

    /// \param routes Newer than the current ones.
    void setRoutes(RouteTablePtr routes);
    /// \brief Sets whether the directory was confirmed recently. Only then is a flow that can't be
    /// placed reset; its segment is dropped otherwise. \see AbortFlow
    void setFresh(bool fresh) noexcept { m_fresh = fresh; }
    /// \return Whether the target has restarted under the same id.
    bool putTarget(const RegisteredTarget &target, TimePoint now);
    /// \brief Sets the daemons that open flows at cold targets. \see ColdTargetLimiter::setOwners
    void setColdOwners(std::size_t owners, bool isOwner, TimePoint now)
    {
        m_targets.setColdOwners(owners, isOwner, now);
    }
    /// \brief The target's new registration is unreadable: it gets no new flow, and its open flows
    /// stay.
    void refuseTarget(TargetId target);
    void removeTarget(TargetId target, bool lapsed, TimePoint now);
    /// \brief Begins or ends the evacuation of a failure domain, which gets no new flows meanwhile.
    /// Its open flows stay.
    /// \return Whether this is a change.
    bool setEvacuated(const std::string &domain, bool evacuated, TimePoint now);

    [[nodiscard]] SegmentVerdict route(const Segment &segment, TimePoint now);
    /// \return Requests that are no longer held, since the last call; to be called after each
    /// route() and each serveHeld().
    [[nodiscard]] std::vector<HeldRequestOutcome> takeHeldOutcomes()
    {
        return std::exchange(m_heldOutcomes, {});
    }
    /// \brief Forwards held requests for which there is room, and abandons those whose deadline
    /// can't be met; to be called every few milliseconds while any are held.
    void serveHeld(TimePoint now);
    /// \brief Forwards all held requests, and holds none from now on.
    void stopHolding(TimePoint now);
    /// \brief Forwards the held request of a flow, as there is no space to buffer it.
    void cancelHold(const FlowKey &flow, TimePoint now);

    /// \brief Sets whether targets can be probed by connections. \see takeProbes
    void setProbing(bool probing) noexcept { m_probing = probing; }
    /// \return Targets to probe now; to be called after each call that may request a probe.
    [[nodiscard]] std::vector<ProbeRequest> takeProbes(TimePoint now);
    /// \brief Reports the outcome of a probe; to be called once for each.
    void probed(const ProbeRequest &probe, ProbeOutcome outcome, TimePoint now);

    /// \brief Sets who is told what this daemon observes of targets.
    void setSignHandler(std::function<void(TargetId, TargetSign)> handler)
    {
        m_onSign = std::move(handler);
    }
    /// \brief Sets the targets that this daemon probes where another one found them silent.
    void setProbeShare(ProbeShare share) noexcept { m_probeShare = share; }
    /// \brief Enough daemons of this failure domain report the target silent, or no longer.
    void setReported(TargetId target, bool silent, TimePoint now);
    /// \brief Another daemon of this failure domain is the first that found the target silent.
    void firstReported(TargetId target, TimePoint now);

    /// \brief Evicts idle flows and former targets; to be called about once a second.
    /// \param store Decides when a lapsed target counts as gone.
    void expire(TimePoint now, const StoreStatus &store);

    /// \return This daemon's usage since the last call; to be called a few times a second.
    [[nodiscard]] UsageTable takeUsage(TimePoint now);
    /// \brief Places new flows by the usage of all daemons from now on.
    /// \param view Null where it is unknown or too old.
    void applyUsage(const UsageView *view, TimePoint now);

    [[nodiscard]] std::size_t flows() const noexcept { return m_flows.size(); }
    [[nodiscard]] const DirectTargets &targets() const noexcept { return m_targets; }
    [[nodiscard]] const RouteTable &routes() const noexcept { return *m_routes; }
    [[nodiscard]] const RequestGate &gate() const noexcept { return m_gate; }
    [[nodiscard]] const PlacementPlanner &planner() const noexcept { return m_planner; }

private:
    /// Both ends retransmit what was not acknowledged for 200 ms. Old bytes that arrive sooner
    /// after the flow's newest ones were reordered on the way. Counted as retransmissions, they
    /// made responsive targets suspect and reset flows of targets that were draining properly.
    static constexpr Duration MinRetransmitDelay = 150ms;

    enum class FlowState { Opening, Open, Closing };

    struct Flow
    {
        TargetId target;
        ServiceId service;
        std::uint32_t incarnation = 0; ///< Of the target, which loses its flows on a restart.
        FlowState state = FlowState::Opening;
        bool requested = false;       ///< A request is in flight.
        bool held = false;            ///< A request is held here.
        bool hadRequest = false;      ///< The flow has sent a request before.
        std::uint8_t retransmits = 0; ///< Since the last response of the target.
        std::uint32_t end = 0;        ///< Sequence number behind the last byte forwarded.
        std::uint32_t heldEnd = 0;    ///< Sequence number behind the last byte held.
        std::uint32_t received = 0;   ///< Sequence number that the caller has acknowledged.
        TimePoint openedAt{};         ///< First segment that this daemon saw.
        Duration waitedBefore{0};     ///< Time that the caller had waited before that one.
        TimePoint establishedAt{};    ///< First segment that showed the flow accepted.
        TimePoint lastByteAt{};       ///< When the newest byte was forwarded.
        TimePoint sentAt{};           ///< When the request in flight was forwarded.
        TimePoint seenAt{};
        std::optional<UsageCounter::Part> work; ///< Where its opening or request is counted.
        bool movable = false;                   ///< How that is counted. \see Usage
    };

    [[nodiscard]] SegmentVerdict open(const Segment &segment, TimePoint now);
    [[nodiscard]] SegmentVerdict refuse(const Segment &segment, SegmentCause cause,
                                        ServiceId service);
    [[nodiscard]] SegmentVerdict placeAt(DirectTarget &target, const Segment &segment,
                                         ServiceId service, SegmentCause cause, TimePoint now);
    [[nodiscard]] SegmentVerdict forward(const Segment &segment, TimePoint now);
    [[nodiscard]] SegmentVerdict deliver(const DirectTarget &target, const Segment &segment,
                                         ServiceId service, SegmentCause cause);
    [[nodiscard]] ServiceId serviceOf(const Route &route, const FlowKey &flow) const noexcept;

    [[nodiscard]] bool tryHold(Flow &flow, DirectTarget &target, const Segment &segment,
                               TimePoint now);
    [[nodiscard]] SegmentVerdict hold(Flow &flow, const DirectTarget &target,
                                      const Segment &segment);
    void serveHeld(DirectTarget &target, TimePoint now);
    void serveHeldAfter(const Segment &segment, TimePoint now);
    void forwardHeld(const HeldRequest &request, TimePoint now);
    void abandonHeld(const HeldRequest &request);
    void clearHeld(Flow &flow);
    void dropHeld(const FlowKey &key, Flow &flow);
    [[nodiscard]] RequestPolicy promiseOf(const FlowKey &flow) const noexcept;

    void acknowledged(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now);
    void sent(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now);
    void opened(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now);
    void answered(Flow &flow, DirectTarget &target, const Segment &segment, TimePoint now);
    void updateWindow(const Flow &flow, const DirectTarget &target, Duration took,
                      const Segment &segment, TimePoint now);
    void measured(FlowTime time, Duration took, Duration average, const Segment &segment,
                  const Flow &flow, const DirectTarget &target) const;
    void heard(Flow &flow, DirectTarget &target, TimePoint now);
    void unanswered(Flow &flow, DirectTarget &target, TimePoint now);
    /// \brief Probes a target that gave no response on a flow.
    void requestProbe(DirectTarget &target);
    /// \brief Probes the targets of a failure domain that have not responded recently, of many
    /// only this daemon's share.
    void sweep(const std::string &domain, TimePoint now);
    /// \return A probe whose answer shows that this daemon itself isn't cut off.
    [[nodiscard]] std::optional<ProbeRequest> controlProbe(ServiceId service, TimePoint now);
    void observed(TargetId target, TargetSign sign) const;
    void reprobeFailed(TimePoint now);
    /// \brief Counts the opening or the request of the flow as work of its target.
    void beginWork(const FlowKey &key, Flow &flow, const DirectTarget &target, bool movable);
    void endWork(Flow &flow);
    /// \brief Ends the work of openings that have been without an answer for too long.
    void endStaleOpenings(TimePoint now);
    void release(const FlowKey &key, Flow &flow);
    [[nodiscard]] DirectTarget *targetOf(const Flow &flow);
    void endRequest(Flow &flow, DirectTarget &target);
    void decided(SegmentCause cause, const Segment &segment, const DirectTarget *target,
                 ServiceId service) const;

    DirectSettings m_settings;
    Random &m_random;
    DirectObserver m_observer;
    DirectTargets m_targets;
    RequestGate m_gate;
    UsageCounter m_usage;
    PlacementPlanner m_planner;
    ProbeScheduler m_probes;
    bool m_probing = false;
    std::function<void(TargetId, TargetSign)> m_onSign;
    ProbeShare m_probeShare;
    std::optional<TimePoint> m_respondedAt; ///< Last response of any target.
    std::optional<TimePoint> m_controlAt;   ///< Start of the last control probe.
    std::vector<HeldRequestOutcome> m_heldOutcomes;
    RouteTablePtr m_routes = std::make_shared<const RouteTable>();
    std::map<Endpoint, ServiceId> m_removedRoutes; ///< Since this process started.
    bool m_fresh = false;
    boost::unordered_flat_map<FlowKey, Flow> m_flows;
    /// \brief An opening segment that was forwarded.
    struct Opening
    {
        FlowKey flow;
        TimePoint at{};
    };
    std::deque<Opening> m_openings; ///< The latest last.
};

} // namespace baobabtrail
