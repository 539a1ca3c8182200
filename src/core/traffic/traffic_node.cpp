#include "core/traffic/traffic_node.h"

#include "core/flows/flow_router.h"
#include "core/requests/request_owner.h"
#include "core/traffic/retirement.h"

#include <utility>

namespace baobabtrail {

namespace {

/// How long a stopping daemon still retransmits answers once nothing is in progress.
constexpr Duration StopLinger = 1s;
/// Bounds how often the target table is scanned for its next timer, and how soon that timer
/// repeats.
constexpr Duration MinTimerInterval = 10ms;

} // namespace

class TrafficNode::Impl
{
public:
    Impl(NodeIdentity identity, TrafficSettings settings, std::shared_ptr<const KeyRing> keys,
         std::uint64_t seed);

    void handle(TrafficEvent event, Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;
    [[nodiscard]] Counts counts() const noexcept;
    [[nodiscard]] std::vector<TargetStatus> targetStatus(TimePoint now) const;

private:
    void on(FromCaller event, Turn &turn);
    void on(FromPeer event, Turn &turn);
    void on(FromTarget event, Turn &turn);
    void on(const LinkOpened &event, Turn &turn);
    void on(const LinkClosed &event, Turn &turn);
    void on(FromLink event, Turn &turn);
    void on(ConfigChanged event, Turn &turn);
    void on(ViewChanged event, Turn &turn);
    void on(StopRequested event, Turn &turn);
    void on(TimerExpired event, Turn &turn);

    void configure(Turn &turn);
    void reconcileLinks(Turn &turn);
    void closeIdleLinks(Turn &turn);
    void stopWhenDone(Turn &turn);
    [[nodiscard]] bool inUse(TargetId target) const noexcept;

    NodeContext m_context;
    TargetLinks m_links;
    FlowRouter m_flows;
    RequestOwner m_requests;
    Retirement m_retirement;
    TimePoint m_advancedAt{};
    TimePoint m_targetsCheckedAt{};
    std::optional<TimePoint> m_targetsTimer; ///< Next timer of the target table.
    std::optional<TimePoint> m_stopAt;
    bool m_stopped = false;
};

TrafficNode::Impl::Impl(NodeIdentity identity, TrafficSettings settings,
                        std::shared_ptr<const KeyRing> keys, std::uint64_t seed)
    : m_context(std::move(identity), settings, std::move(keys), seed)
    , m_links(m_context)
    , m_flows(m_context)
    , m_requests(m_context, m_links)
    , m_retirement(m_context, [this](TargetId target) { return inUse(target); })
{
}

void TrafficNode::Impl::handle(TrafficEvent event, Turn &turn)
{
    // After a stall, timeouts are handled before the messages that arrived meanwhile: requests past
    // their deadline end before anything else starts.
    m_requests.advance(turn);
    std::visit([&](auto &&e) { on(std::forward<decltype(e)>(e), turn); }, std::move(event));
    if (m_context.stopping)
        stopWhenDone(turn);
    // This scans all targets, which is too expensive for each datagram.
    if (turn.now < m_targetsCheckedAt + MinTimerInterval)
        return;
    m_targetsCheckedAt = turn.now;
    m_targetsTimer = m_context.targets.nextTimer();
}

void TrafficNode::Impl::on(FromCaller event, Turn &turn)
{
    if (FlowMessage *flow = std::get_if<FlowMessage>(&event.message))
        m_flows.fromCaller(event.caller, std::move(*flow), turn);
    else
        m_requests.fromCaller(event.caller, std::move(std::get<RequestMessage>(event.message)),
                              turn);
}

void TrafficNode::Impl::on(FromPeer event, Turn &turn)
{
    PeerMessage &body = event.datagram.body;
    if (Handoff *handoff = std::get_if<Handoff>(&body)) {
        if (std::holds_alternative<OpenFlow>(handoff->body))
            m_flows.fromPeer(std::move(*handoff), turn);
        else
            m_requests.fromPeer(std::move(*handoff), turn);
    } else if (const HandoffReply *reply = std::get_if<HandoffReply>(&body)) {
        relayReply(m_context, turn, *reply);
    } else if (OwnerRequest *request = std::get_if<OwnerRequest>(&body)) {
        m_requests.fromPeer(std::move(*request), turn);
    }
}

void TrafficNode::Impl::on(FromTarget event, Turn &turn)
{
    m_flows.fromTarget(event.address, std::move(event.datagram), turn);
}

void TrafficNode::Impl::on(const LinkOpened &event, Turn &turn)
{
    m_links.opened(event.target, event.generation, turn);
}

void TrafficNode::Impl::on(const LinkClosed &event, Turn &turn)
{
    if (m_links.closed(event.target, event.generation, turn))
        m_requests.dispatcher().linkBroken(event.target, turn);
    closeIdleLinks(turn);
}

void TrafficNode::Impl::on(FromLink event, Turn &turn)
{
    if (!m_links.isCurrent(event.target, event.generation))
        return;
    Dispatcher &dispatcher = m_requests.dispatcher();
    if (const LinkHelloReply *reply = std::get_if<LinkHelloReply>(&event.message)) {
        if (m_links.helloReply(event.target, *reply, turn))
            dispatcher.dispatchQueued(event.target, turn);
    } else if (AttemptDone *done = std::get_if<AttemptDone>(&event.message)) {
        dispatcher.attemptDone(event.target, std::move(*done), turn);
    } else if (const AttemptNotRun *notRun = std::get_if<AttemptNotRun>(&event.message)) {
        dispatcher.attemptNotRun(event.target, *notRun, turn);
    }
    closeIdleLinks(turn);
}

void TrafficNode::Impl::on(ConfigChanged event, Turn &turn)
{
    if (event.config->revision < m_context.config->revision)
        return;
    m_context.setConfig(std::move(event.config));
    configure(turn);
}

void TrafficNode::Impl::on(ViewChanged event, Turn &turn)
{
    m_context.setView(std::move(event.view));
    configure(turn);
}

void TrafficNode::Impl::configure(Turn &turn)
{
    m_context.targets.configure(m_context.config, m_context.view, turn.now);
    m_requests.dispatcher().configure(turn);
    reconcileLinks(turn);
    m_retirement.configure(turn);
}

void TrafficNode::Impl::reconcileLinks(Turn &turn)
{
    const auto used = [this](TargetId target) { return inUse(target); };
    for (const TargetId target : m_links.reconcile(used, turn))
        m_requests.dispatcher().targetCut(target, turn);
}

void TrafficNode::Impl::closeIdleLinks(Turn &turn)
{
    m_links.closeIdle([this](TargetId target) { return inUse(target); }, turn);
}

void TrafficNode::Impl::on(StopRequested, Turn &)
{
    m_context.stopping = true;
}

void TrafficNode::Impl::on(TimerExpired, Turn &turn)
{
    m_advancedAt = turn.now;
    std::vector<Notice> notices;
    m_context.targets.advance(turn.now, notices);
    for (Notice &notice : notices)
        turn.add(std::move(notice));
    m_flows.advance(turn);
    for (const TargetId target : m_links.advance(turn))
        m_requests.dispatcher().linkBroken(target, turn);
    m_requests.dispatcher().advance(turn);
    closeIdleLinks(turn);
    m_retirement.advance(turn);
}

void TrafficNode::Impl::stopWhenDone(Turn &turn)
{
    if (m_stopped)
        return;
    if (m_requests.table().inProgress() > 0 || m_flows.pendingOpens() > 0) {
        m_stopAt.reset();
        return;
    }
    if (!m_stopAt)
        m_stopAt = turn.now + (m_requests.table().size() > 0 ? StopLinger : Duration{0});
    if (turn.now < *m_stopAt)
        return;
    m_stopped = true;
    turn.add(Stopped{});
}

bool TrafficNode::Impl::inUse(TargetId target) const noexcept
{
    return m_requests.dispatcher().inUse(target) || m_flows.hasPendingOpen(target);
}

std::optional<TimePoint> TrafficNode::Impl::nextTimer() const
{
    std::optional<TimePoint> next = m_targetsTimer;
    // A probe stays due until a flow or request arrives that can serve as one; without a minimum
    // interval the timer would fire continuously.
    if (next)
        next = std::max(*next, m_advancedAt + MinTimerInterval);
    next = earlier(next, m_flows.nextTimer());
    next = earlier(next, m_requests.nextTimer());
    next = earlier(next, m_links.nextTimer());
    next = earlier(next, m_retirement.nextTimer());
    return m_stopped ? next : earlier(next, m_stopAt);
}

TrafficNode::Counts TrafficNode::Impl::counts() const noexcept
{
    return {m_requests.table().size(), m_flows.pendingOpens(), m_context.targets.owned().size(),
            m_requests.table().runningAttempts()};
}

std::vector<TargetStatus> TrafficNode::Impl::targetStatus(TimePoint now) const
{
    std::vector<TargetStatus> all;
    for (const TargetId target : m_context.targets.owned()) {
        if (const std::optional<TargetStatus> status = m_context.targets.status(target, now))
            all.push_back(*status);
    }
    return all;
}

TrafficNode::TrafficNode(NodeIdentity identity, TrafficSettings settings,
                         std::shared_ptr<const KeyRing> keys, std::uint64_t seed)
    : m_impl(std::make_unique<Impl>(std::move(identity), settings, std::move(keys), seed))
{
}

TrafficNode::~TrafficNode() = default;

void TrafficNode::handle(TrafficEvent event, TimePoint now, TrafficActions &out)
{
    Turn turn{now, out};
    m_impl->handle(std::move(event), turn);
}

std::optional<TimePoint> TrafficNode::nextTimer() const
{
    return m_impl->nextTimer();
}

TrafficNode::Counts TrafficNode::counts() const noexcept
{
    return m_impl->counts();
}

std::vector<TargetStatus> TrafficNode::targetStatus(TimePoint now) const
{
    return m_impl->targetStatus(now);
}

} // namespace baobabtrail
