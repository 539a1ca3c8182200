#pragma once

#include "core/direct/direct_targets.h"
#include "core/direct/probe_scheduler.h"
#include "core/direct/segment.h"
#include "core/directory/directory.h"
#include "core/overload/request_gate.h"
#include "core/random.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Send the segment on to a target.
struct DeliverSegment
{
    TargetId target;
    Endpoint address;
    FlowLabel label; ///< To be written into the segment.
};
/// \brief Tell the caller that its flow is over.
struct AbortFlow
{
    std::uint32_t sequence = 0; ///< Within the caller's window.
};
/// \brief Say nothing; the caller sends again.
struct DropSegment
{
};
/// \brief Keep the segment until the router says what becomes of its request. \see
/// HeldRequestOutcome
struct HoldSegment
{
};
using SegmentVerdict = std::variant<DeliverSegment, AbortFlow, DropSegment, HoldSegment>;

/// \brief What becomes of a request whose segments were held.
struct HeldRequestOutcome
{
    FlowKey flow;
    bool shouldForward = false; ///< Its segments are to be routed now; else they are to be dropped.
};

/// \brief A target to which a connection is to be tried.
struct ProbeRequest
{
    TargetId target;
    std::uint32_t incarnation = 0;
    Endpoint address;
};

/// \brief What was decided about a segment, by cause.
enum class SegmentCause {
    Forwarded,            ///< To the target that holds the flow.
    Placed,               ///< A new flow, at the target that was chosen.
    OpeningRetransmitted, ///< A first segment that came again, to the same target.
    Retransmitted,        ///< Of an open flow, sent again: its target acknowledged nothing.
    Moved,                ///< A first segment that came again, to another target than before.
    NoRoute,              ///< No service has this address.
    StaleView,    ///< No service has this address as far as is known, which may be out of date.
    NoTarget,     ///< The service has no target that takes flows.
    RouteRemoved, ///< An open flow of an address that is no longer served.
    TargetGone,   ///< An open flow of a target that has left and no longer answers.
    UnknownLabel, ///< The flow's target is not known here.
    Held,         ///< A request on an open flow, whose target is saturated: it waits here.
    Absorbed,     ///< Bytes sent again of a request that waits here.
    Abandoned,    ///< A request that waited here until no answer could be in time any more.
};

/// \brief A decision, for the log and the counters.
struct SegmentDecision
{
    SegmentCause cause = SegmentCause::Forwarded;
    const Segment &segment;
    const DirectTarget *target = nullptr; ///< The one it went to, or failed at.
    ServiceId service;
};

/// \brief A change of what is believed of a target.
struct TargetStateChange
{
    const DirectTarget &target;
    DirectTargetState state = DirectTargetState::Healthy;
    bool restarted = false; ///< Under its id: what was known of it is forgotten.
};

/// \brief Times that the daemon measured at flows, by service.
enum class FlowTime {
    Open,   ///< From the first segment of a flow to the first one that shows it open.
    Answer, ///< From the last byte of a request to the first of its answer.
    Held,   ///< From the first byte of a request until it went on to its saturated target.
};

/// \brief A time that was measured at a flow.
struct FlowMeasurement
{
    FlowTime time = FlowTime::Open;
    Duration took{0};
    Duration average{0}; ///< What the target took lately; 0 for nothing known.
    const Segment &segment;
    const DirectTarget &target;
    ServiceId service;
};

/// \brief A target counts as saturated from now on, or no longer.
struct SaturationChange
{
    const DirectTarget &target;
    bool saturated = false;
    double window = 0;         ///< Requests of this daemon that it may have at once.
    Duration averageAnswer{0}; ///< Moving mean that decided.
    ServiceId service;
};

/// \brief Told of what the router decides; every function may be empty.
struct DirectObserver
{
    std::function<void(const SegmentDecision &)> decided;
    std::function<void(const TargetStateChange &)> stateChanged;
    std::function<void(const SaturationChange &)> saturated;
    std::function<void(const FlowMeasurement &)> measured;
};

/// \brief Places flows whose targets answer their callers directly (direct server return), and
/// forwards every later segment by its label.
///
/// Only segments from callers pass. What is kept of a flow is accounting: without it, after a
/// restart or at another daemon, the label alone finds the target.
class DirectRouter
{
public:
    DirectRouter(std::string domain, DirectSettings settings, Random &random,
                 DirectObserver observer);

    /// \param routes Newer than those in force.
    void setRoutes(RouteTablePtr routes);
    /// \brief Whether the directory was confirmed lately; only then is a caller told that its
    /// address is not served. \see AbortFlow
    void setFresh(bool fresh) noexcept { m_fresh = fresh; }
    void putTarget(const RegisteredTarget &target, TimePoint now);
    /// \brief Which daemons open flows at cold targets. \see ColdTargetLimiter::setOwners
    void setColdOwners(std::size_t owners, bool isOwner, TimePoint now)
    {
        m_targets.setColdOwners(owners, isOwner, now);
    }
    /// \brief The target's registration can't be read any more: it takes no new flow, and those
    /// that it holds stay.
    void refuseTarget(TargetId target);
    void removeTarget(TargetId target, bool lapsed, TimePoint now);
    /// \brief A failure domain gets no new flows from now on, or gets them again. Its open flows
    /// stay where they are.
    /// \return Whether that is new.
    bool setEvacuated(const std::string &domain, bool evacuated, TimePoint now);

    [[nodiscard]] SegmentVerdict route(const Segment &segment, TimePoint now);
    /// \return What has become of requests that were held, since the last call; to be asked after
    /// each route() and each serveHeld().
    [[nodiscard]] std::vector<HeldRequestOutcome> takeHeldOutcomes()
    {
        return std::exchange(m_heldOutcomes, {});
    }
    /// \brief Looks for requests that may go on or are given up; to be called every few
    /// milliseconds while any are held.
    void serveHeld(TimePoint now);
    /// \brief Lets all go that is held, and holds nothing from now on.
    void stopHolding(TimePoint now);
    /// \brief There is no space to hold a flow's request; it goes on.
    void cancelHold(const FlowKey &flow, TimePoint now);

    /// \brief Whether connections to targets can be tried. \see takeProbes
    void setProbing(bool probing) noexcept { m_probing = probing; }
    /// \return Targets that are to be tried now; to be asked after each call that may want one.
    [[nodiscard]] std::vector<ProbeRequest> takeProbes();
    /// \brief The outcome of a probe; to be told once for each.
    void probed(const ProbeRequest &probe, ProbeOutcome outcome, TimePoint now);

    /// \brief Forgets idle flows and, by the store's word, departed targets; about once a second.
    void expire(TimePoint now, const StoreStatus &store);

    [[nodiscard]] std::size_t flows() const noexcept { return m_flows.size(); }
    [[nodiscard]] const DirectTargets &targets() const noexcept { return m_targets; }
    [[nodiscard]] const RouteTable &routes() const noexcept { return *m_routes; }
    [[nodiscard]] const RequestGate &gate() const noexcept { return m_gate; }

private:
    enum class FlowState { Opening, Open, Closing };

    struct Flow
    {
        TargetId target;
        ServiceId service;
        std::uint32_t incarnation = 0; ///< Of the target, which forgets its flows when it starts.
        FlowState state = FlowState::Opening;
        bool requested = false;       ///< A request waits for its answer.
        bool held = false;            ///< A request waits to go to the target.
        bool hadRequest = false;      ///< There was a request before.
        std::uint8_t retransmits = 0; ///< Segments sent again since the target was heard last.
        std::uint32_t end = 0;        ///< Behind the last byte that the caller has sent.
        std::uint32_t heldEnd = 0;    ///< The same, with what is held.
        std::uint32_t received = 0;   ///< Bytes that the caller has acknowledged.
        TimePoint openedAt{};         ///< First segment that was seen here.
        Duration waitedBefore{0};     ///< By the caller, before that one.
        TimePoint establishedAt{};    ///< First segment that showed that its target had accepted.
        TimePoint lastByteAt{};       ///< Of the request that waits.
        TimePoint sentAt{};           ///< When the request that waits went to the target.
        TimePoint seenAt{};
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
    void serveHeldAt(const Segment &segment, TimePoint now);
    void forwardHeld(const HeldRequest &request, TimePoint now);
    void abandonHeld(const HeldRequest &request);
    void clearHeld(Flow &flow);
    void dropHeld(const FlowKey &key, Flow &flow);
    [[nodiscard]] RequestPromise promiseOf(const FlowKey &flow) const noexcept;

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
    /// \brief A target has left a flow without a sign.
    void requestProbe(DirectTarget &target);
    /// \brief Tries all of a failure domain that were not heard lately.
    void sweep(const std::string &domain, TimePoint now);
    void reprobeFailed(TimePoint now);
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
    ProbeScheduler m_probes;
    bool m_probing = false;
    std::vector<HeldRequestOutcome> m_heldOutcomes;
    RouteTablePtr m_routes = std::make_shared<const RouteTable>();
    std::map<Endpoint, ServiceId> m_removedRoutes; ///< Were served once, in this process' life.
    bool m_fresh = false;
    boost::unordered_flat_map<FlowKey, Flow> m_flows;
};

} // namespace baobabtrail
