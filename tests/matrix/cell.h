#pragma once

#include "support/fake_network.h"

#include <array>
#include <sstream>

namespace baobabtrail::fake {

/// \brief Faults that a cell can inject; in the order of FaultNames.
enum class Fault {
    None,
    DaemonKill,
    DaemonRestart,
    DaemonFreeze,
    Cut,
    Loss,
    Duplicate,
    Delay,
    Reorder,
    TargetCrash,
    TargetHang,
    TargetShedding,
    TargetCold,
    TargetLying,
    DaemonJoins,
    DaemonLeaves,
    Revisions,
    TwoReservations,
    SilentFlow,
    KeyRotation,
};

/// Names of faults and steps as BAOBABTRAIL_CELL has them.
inline constexpr std::array FaultNames{"none",          "daemon-kill",  "daemon-restart",
                                       "daemon-freeze", "cut",          "loss",
                                       "duplicate",     "delay",        "reorder",
                                       "target-crash",  "target-hang",  "target-shedding",
                                       "target-cold",   "target-lying", "daemon-joins",
                                       "daemon-leaves", "revisions",    "two-reservations",
                                       "silent-flow",   "key-rotation"};
inline constexpr std::array StepNames{"open",           "established", "reservation",
                                      "dispatch",       "running",     "answer",
                                      "retransmission", "drain",       "stop"};

/// \brief A fault, and the step at which it is injected.
struct FaultInjection
{
    Fault fault = Fault::None;
    Step step = Step::Open;
};

/// \brief One cell of the fault matrix: flows and requests through four daemons to six targets of
/// two services, while a target drains and a daemon stops, with one or two injected faults.
///
/// A fault is injected when the focal flow or request, which the cell follows, reaches its step, or
/// when the drain or the stop begins.
class Cell
{
public:
    Cell(std::vector<FaultInjection> injections, std::uint64_t seed);

    /// \return The violated invariants; empty where all held.
    [[nodiscard]] std::vector<std::string> run();

private:
    static constexpr Duration ServiceTime = 100ms;
    static constexpr Duration Deadline = 1500ms;
    static constexpr std::size_t StoppingDaemon = 3;

    void setUpServices();
    [[nodiscard]] std::shared_ptr<Config> nextConfig() const;
    void startCallers();
    void observeAction(std::size_t daemon, const TrafficAction &action);
    void reachStep(Step step, std::optional<std::size_t> daemon, std::optional<TargetId> target);
    void inject(Fault fault, std::size_t daemon, TargetId target);
    void drain();
    void stop(std::size_t daemon);
    [[nodiscard]] TargetId targetOwnedBy(std::size_t daemon) const;
    [[nodiscard]] std::size_t daemonIndex(DaemonId id) const;

    [[nodiscard]] bool injected(std::initializer_list<Fault> faults) const;
    void checkInjections();
    [[nodiscard]] Duration maxPathDelay() const;
    void checkRequests();
    void checkRequest(const FakeRequest &request);
    void checkFlows();
    void checkPlannedChanges();
    template <typename... Parts>
    void addViolation(const Parts &...parts)
    {
        std::ostringstream text;
        (text << ... << parts);
        m_net.violations.push_back(text.str());
    }

    std::vector<FaultInjection> m_injections;
    std::set<Step> m_reached;
    FakeNetwork m_net;
    ServiceId m_lending = serviceId("alexandria", "lending");
    ServiceId m_catalogue = serviceId("alexandria", "catalogue");
    std::shared_ptr<Config> m_config;
    std::map<std::size_t, MemberState> m_states;
    std::size_t m_focalDaemon = 0; ///< The daemon that dispatched the focal request.
    bool m_rotating = false;
    TargetId m_drained;
    TimePoint m_drainedAt{};
    RequestId m_focalRequest{9, 9};
    FlowId m_focalFlow{999};
    AttemptId m_focalAttempt;
};

inline Cell::Cell(std::vector<FaultInjection> injections, std::uint64_t seed)
    : m_injections(std::move(injections))
    , m_net(seed)
{
}

inline std::shared_ptr<Config> Cell::nextConfig() const
{
    auto config = std::make_shared<Config>(*m_config);
    config->revision = Revision{m_config->revision.value() + 1};
    return config;
}

inline void Cell::setUpServices()
{
    m_config = std::make_shared<Config>();
    m_config->revision = Revision{10};
    const auto add = [&](ServiceId id, const std::string &name, std::uint32_t count) {
        ServiceConfig &service = m_config->services[id];
        service.id = id;
        service.workspace = "alexandria";
        service.name = name;
        for (std::uint32_t i = 0; i < count; ++i) {
            TargetConfig target;
            target.name = "t" + std::to_string(i);
            target.id = targetId(id, target.name);
            target.generation = Generation{5};
            target.domain = "alx-raml";
            const std::uint32_t address = 0x0d000000 + (id == m_lending ? 0 : 100) + i;
            target.flows = Endpoint{address, 9000};
            target.requests = Endpoint{address, 9001};
            target.slots = 2;
            service.targets[target.id] = target;
            m_net.addTarget(id, target).serviceTime = ServiceTime;
        }
    };
    add(m_lending, "lending", 4);
    add(m_catalogue, "catalogue", 2);
    m_drained = targetId(m_lending, "t3");
    for (int i = 0; i < 4; ++i)
        m_net.addDaemon();
    m_net.publish(m_config, 10ms);
    m_net.publishView(m_states, 10ms);
}

inline void Cell::startCallers()
{
    VirtualTime &time = m_net.time;
    for (std::uint64_t i = 0; i < 10; ++i) {
        time.after(300ms + 37ms * i, [this, i] {
            m_net.addFlow(FlowId{100 + i}, i % 5 == 4 ? m_catalogue : m_lending);
        });
    }
    time.after(2s, [this] { m_net.addFlow(m_focalFlow, m_lending); });
    for (std::uint64_t i = 0; i < 375; ++i) {
        // Bursts of 20, more than there are slots.
        time.after(1s + 16ms * (i - i % 20), [this, i] {
            Reserve reserve;
            reserve.request = RequestId{i, i + 1};
            reserve.service = i % 4 == 3 ? m_catalogue : m_lending;
            reserve.requestClass = static_cast<RequestClass>(i % RequestClassCount);
            reserve.idempotent = i % 2 == 1;
            // With a long deadline, some could wait long at a slow or draining target.
            reserve.timeLeft = i % 10 == 3 ? 8s : Deadline;
            FakeRequest &request = m_net.addRequest(reserve);
            request.payloadBytes = i % 5 == 0 ? 3000 : 20;
            request.extraReserves = injected({Fault::TwoReservations}) ? 1 : 0;
            if (i % 7 == 6)
                m_net.time.after(15ms, [&request] { request.cancel(); });
        });
    }
    time.after(2s, [this] {
        Reserve reserve;
        reserve.request = m_focalRequest;
        reserve.service = m_lending;
        reserve.timeLeft = Deadline;
        FakeRequest &request = m_net.addRequest(reserve);
        request.payloadBytes = 3000;
        request.extraReserves = injected({Fault::TwoReservations}) ? 1 : 0;
    });
    time.after(4s, [this] { drain(); });
    time.after(6s, [this] {
        reachStep(Step::Stop, StoppingDaemon, targetOwnedBy(StoppingDaemon));
        stop(StoppingDaemon);
    });
}

inline void Cell::drain()
{
    m_config = nextConfig();
    m_config->services[m_lending].targets[m_drained].state = TargetState::Draining;
    m_drainedAt = m_net.time.now();
    m_net.publish(m_config, 1s);
    reachStep(Step::Drain, std::nullopt, m_drained);
}

inline void Cell::stop(std::size_t daemon)
{
    if (m_states.contains(daemon))
        return;
    m_states[daemon] = MemberState::Leaving;
    m_net.deliver(daemon, StopRequested{});
    m_net.publishView(m_states, 1s);
}

inline TargetId Cell::targetOwnedBy(std::size_t daemon) const
{
    const View &view = *m_net.daemons[daemon].view;
    for (const auto &[id, target] : m_config->services.at(m_lending).targets) {
        const Member *owner = view.ownerOf(id);
        if (owner && owner->id == m_net.daemons[daemon].identity.daemon)
            return id;
    }
    return m_drained;
}

inline std::size_t Cell::daemonIndex(DaemonId id) const
{
    return id.value() - 100;
}

/// Recognizes the steps of the focal flow and request by the messages that daemons send for them.
inline void Cell::observeAction(std::size_t daemon, const TrafficAction &action)
{
    if (const SendToTarget *toTarget = std::get_if<SendToTarget>(&action)) {
        const TargetId target = toTarget->datagram.token.target;
        const FlowMessage &body = toTarget->datagram.body;
        if (std::visit([](const auto &m) { return m.flow; }, body) != m_focalFlow)
            return;
        if (std::holds_alternative<OpenFlow>(body))
            reachStep(Step::Open, daemon, target);
        else if (std::holds_alternative<FlowData>(body))
            reachStep(Step::Established, daemon, target);
    } else if (const SendOnLink *onLink = std::get_if<SendOnLink>(&action)) {
        const Dispatch *dispatch = std::get_if<Dispatch>(&onLink->message);
        if (!dispatch || dispatch->request != m_focalRequest)
            return;
        m_focalAttempt = dispatch->attempt;
        m_focalDaemon = daemon;
        reachStep(Step::Dispatch, daemon, onLink->target);
        m_net.time.after(ServiceTime / 2, [this, daemon, target = onLink->target] {
            reachStep(Step::Running, daemon, target);
        });
    } else if (const SendToPeer *toPeer = std::get_if<SendToPeer>(&action)) {
        const HandoffReply *reply = std::get_if<HandoffReply>(&toPeer->message);
        const Reserved *reserved = reply ? std::get_if<Reserved>(&reply->reply) : nullptr;
        if (reserved && reserved->request == m_focalRequest)
            reachStep(Step::Reservation, daemon, std::nullopt);
    } else if (const SendToCaller *toCaller = std::get_if<SendToCaller>(&action)) {
        const RequestMessage *message = std::get_if<RequestMessage>(&toCaller->message);
        const Reserved *reserved = message ? std::get_if<Reserved>(message) : nullptr;
        if (reserved && reserved->request == m_focalRequest)
            reachStep(Step::Reservation, daemonIndex(reserved->token.owner), std::nullopt);
    }
}

inline void Cell::reachStep(Step step, std::optional<std::size_t> daemon,
                            std::optional<TargetId> target)
{
    if (!m_reached.insert(step).second)
        return;
    std::size_t where = daemon.value_or(0);
    if (!daemon && target) {
        const Member *owner = m_net.daemons[0].view->ownerOf(*target);
        where = owner ? daemonIndex(owner->id) : 0;
    }
    for (const FaultInjection &s : m_injections) {
        if (s.step == step)
            m_net.time.after(0us, [this, s, where, target] {
                inject(s.fault, where, target.value_or(targetOwnedBy(where)));
            });
    }
}

inline void Cell::inject(Fault fault, std::size_t daemon, TargetId targetId)
{
    VirtualTime &time = m_net.time;
    FakeTarget &target = *m_net.targets.at(targetId);
    const auto setWeatherFor = [&](NetworkConditions conditions, Duration howLong) {
        m_net.conditions = conditions;
        time.after(howLong, [this] { m_net.conditions = {}; });
    };
    switch (fault) {
    case Fault::None:
    case Fault::TwoReservations:
        return;
    case Fault::DaemonKill:
        m_net.kill(daemon);
        m_states[daemon] = MemberState::Dead;
        time.after(2s, [this] { m_net.publishView(m_states, 500ms); });
        return;
    case Fault::DaemonRestart:
        m_net.kill(daemon);
        time.after(200ms, [this, daemon] {
            m_net.restart(daemon);
            m_net.publishView(m_states, 500ms);
        });
        return;
    case Fault::DaemonFreeze:
        m_net.daemons[daemon].frozen = true;
        time.after(1s, [this, daemon] { m_net.daemons[daemon].inFabric = false; });
        time.after(Deadline + 500ms, [this, daemon] {
            m_net.resume(daemon);
            m_net.daemons[daemon].inFabric = m_net.daemons[daemon].alive;
        });
        return;
    case Fault::Cut:
        m_net.cut(m_net.daemons[daemon].identity.address.address, target.config.flows.address);
        m_net.cut(m_net.daemons[daemon].identity.address.address,
                  m_net.daemons[(daemon + 1) % 4].identity.address.address);
        time.after(3s, [this] { m_net.cuts.clear(); });
        return;
    case Fault::Loss:
        return setWeatherFor({.loss = 0.25}, 2s);
    case Fault::Duplicate:
        return setWeatherFor({.duplicate = 0.5, .jitter = 5ms}, 3s);
    case Fault::Delay:
        return setWeatherFor({.delay = 60ms}, 2s);
    case Fault::Reorder:
        return setWeatherFor({.jitter = 30ms}, 3s);
    case Fault::TargetCrash:
        return m_net.crash(targetId);
    case Fault::TargetHang:
        target.dead = true;
        time.after(3s, [&target] { target.dead = false; });
        return;
    case Fault::TargetShedding:
        target.shedding = true;
        time.after(3s, [&target] { target.shedding = false; });
        return;
    case Fault::TargetCold:
        target.serviceTime = 10 * ServiceTime;
        time.after(5s, [&target] { target.serviceTime = ServiceTime; });
        return;
    case Fault::TargetLying:
        target.reportsIdle = true;
        return;
    case Fault::DaemonJoins: {
        const std::size_t joined = m_net.addDaemon();
        m_net.deliver(joined, ConfigChanged{m_config});
        m_net.publishView(m_states, 1500ms);
        return;
    }
    case Fault::DaemonLeaves:
        return stop(daemon);
    case Fault::Revisions:
        m_config = nextConfig();
        for (auto &[id, config] : m_config->services[m_lending].targets)
            config.weight = 50;
        return m_net.publish(m_config, 3s);
    case Fault::KeyRotation:
        if (std::exchange(m_rotating, true))
            return; // Rotations within one keep-alive period are an operator error.
        m_net.rotateKeys(KeyEpoch{2});
        time.after(3s, [this] { m_net.rotateKeys(KeyEpoch{3}); });
        time.after(6s, [this] { m_net.rotateKeys(KeyEpoch{4}); });
        return;
    case Fault::SilentFlow:
        target.lost.insert(m_focalFlow);
        return;
    }
}

} // namespace baobabtrail::fake
