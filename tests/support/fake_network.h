#pragma once

#include "support/fake_caller.h"
#include "support/fake_daemon.h"
#include "support/fake_target.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace baobabtrail::fake {

/// \brief Several TrafficNodes, targets and callers in virtual time, and the network between them.
///
/// The fabric delivers a datagram of a caller or target to any daemon that it considers alive.
class FakeNetwork
{
public:
    using Daemon = FakeDaemon;

    explicit FakeNetwork(std::uint64_t seed)
        : random(seed)
        , m_keys(std::make_shared<KeyRing>(std::vector<std::byte>(32, std::byte{7}), KeyEpoch{1}))
    {
    }

    VirtualTime time;
    Random random;
    NetworkConditions conditions;
    std::vector<Daemon> daemons;
    std::map<TargetId, std::unique_ptr<FakeTarget>> targets;
    std::map<Endpoint, std::unique_ptr<FakeRequest>> requests;
    std::map<Endpoint, std::unique_ptr<FakeFlow>> flows;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts; ///< Pairs of addresses.
    std::vector<std::string> violations;
    std::vector<ProposeCommand> proposals;
    TrafficSettings settings;
    std::function<void(std::size_t daemon, const TrafficAction &)> onAction = [](auto, auto &) {};
    std::function<void(TargetId, const LinkMessage &)> onTargetReply = [](auto, auto &) {};
    /// Returns whether a message to a caller is lost.
    std::function<bool(const CallerMessage &)> loseToCaller = [](auto &) { return false; };

    std::size_t addDaemon()
    {
        const std::size_t index = daemons.size();
        Daemon daemon;
        daemon.identity.daemon = DaemonId{100 + index};
        daemon.identity.incarnation = Incarnation{1};
        daemon.identity.domain = "alx-raml";
        daemon.identity.address = Endpoint{0x0a000001 + static_cast<std::uint32_t>(index), 7000};
        daemon.identity.records = Endpoint{daemon.identity.address.address, 7001};
        daemons.push_back(std::move(daemon));
        start(index);
        return index;
    }

    void restart(std::size_t index)
    {
        daemons[index].identity.incarnation
            = Incarnation{daemons[index].identity.incarnation.value() + 1};
        daemons[index].alive = true;
        daemons[index].inFabric = true;
        start(index);
    }

    /// \brief Kills the process; the fabric notices it a second later.
    void kill(std::size_t index)
    {
        daemons[index].alive = false;
        closeLinksOf(index);
        time.after(1s, [this, index] {
            if (!daemons[index].alive)
                daemons[index].inFabric = false;
        });
    }

    void resume(std::size_t index)
    {
        daemons[index].frozen = false;
        for (TrafficEvent &event : std::exchange(daemons[index].held, {}))
            deliver(index, std::move(event));
        deliver(index, TimerExpired{});
    }

    FakeTarget &addTarget(ServiceId service, const TargetConfig &config)
    {
        targets[config.id] = std::make_unique<FakeTarget>(time, service, config);
        return *targets[config.id];
    }

    /// \brief Delivers the configuration to every daemon, each after a random time up to \a within.
    void publish(const ConfigPtr &config, Duration within)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            time.after(upTo(within), [this, i, config] { deliver(i, ConfigChanged{config}); });
            daemons[i].config = config;
        }
    }

    /// \brief Delivers a membership view to every daemon, each after a random time up to \a within.
    /// \param states States by daemon; others are alive.
    void publishView(const std::map<std::size_t, MemberState> &states, Duration within)
    {
        View view;
        view.domain = "alx-raml";
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const NodeIdentity &id = daemons[i].identity;
            const auto state = states.find(i);
            if (state != states.end() && state->second == MemberState::Dead)
                continue; // A view has no dead members.
            view.members.push_back({id.daemon, id.incarnation, id.address, id.records, id.domain,
                                    state == states.end() ? MemberState::Alive : state->second,
                                    Revision{1}});
        }
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            view.self = daemons[i].identity.daemon;
            daemons[i].view = std::make_shared<View>(view);
            daemons[i].viewAt = std::max(daemons[i].viewAt, time.now() + upTo(within));
            time.at(daemons[i].viewAt,
                    [this, i, own = daemons[i].view] { deliver(i, ViewChanged{own}); });
        }
    }

    FakeRequest &addRequest(const Reserve &reserve)
    {
        const Endpoint caller{0x0b000000 + static_cast<std::uint32_t>(requests.size()), 5000};
        auto &request = requests[caller];
        request = std::make_unique<FakeRequest>(
            time, reserve, [this, caller](CallerMessage m) { fromCaller(caller, std::move(m)); });
        request->step();
        return *request;
    }

    FakeFlow &addFlow(FlowId id, ServiceId service)
    {
        const Endpoint caller{0x0c000000 + static_cast<std::uint32_t>(flows.size()), 5000};
        auto &flow = flows[caller];
        flow = std::make_unique<FakeFlow>(time, id, service, [this, caller](CallerMessage m) {
            fromCaller(caller, std::move(m));
        });
        flow->start();
        return *flow;
    }

    /// \brief Kills the target's process, with its flows and connections.
    void crash(TargetId target)
    {
        targets.at(target)->dead = true;
        targets.at(target)->flows.clear();
        for (std::size_t i = 0; i < daemons.size(); ++i)
            time.after(1ms, [this, i, target] { breakLink(i, target); });
    }

    void deliver(std::size_t index, TrafficEvent event)
    {
        Daemon &daemon = daemons[index];
        if (!daemon.alive)
            return;
        if (daemon.frozen) {
            daemon.held.push_back(std::move(event));
            return;
        }
        TrafficActions actions;
        daemon.node->handle(std::move(event), time.now(), actions);
        for (TrafficAction &action : actions) {
            onAction(index, action);
            std::visit([&](auto &a) { carryOut(index, a); }, action);
        }
        setTimer(index);
    }

    [[nodiscard]] Duration upTo(Duration most)
    {
        return Duration{
            boost::random::uniform_int_distribution<Duration::rep>{0, most.count()}(random)};
    }
    [[nodiscard]] bool chance(double p)
    {
        return p > 0 && boost::random::bernoulli_distribution<double>{p}(random);
    }
    void rotateKeys(KeyEpoch epoch) { m_keys->rotate(epoch); }
    void cut(std::uint32_t a, std::uint32_t b) { cuts.insert(std::minmax(a, b)); }

private:
    using LinkKey = std::pair<std::size_t, TargetId>;

    void start(std::size_t index)
    {
        Daemon &daemon = daemons[index];
        daemon.timer.reset();
        daemon.node = std::make_unique<TrafficNode>(daemon.identity, settings, m_keys, random());
        if (daemon.config)
            deliver(index, ConfigChanged{daemon.config});
        if (daemon.view)
            deliver(index, ViewChanged{daemon.view});
    }

    void setTimer(std::size_t index)
    {
        Daemon &daemon = daemons[index];
        const std::optional<TimePoint> next = daemon.node->nextTimer();
        if (!next || (daemon.timer && *daemon.timer <= *next && *daemon.timer > time.now()))
            return;
        if (*next <= time.now() && ++daemon.timersAtOnce > 1000) {
            violations.push_back("a timer is due again and again at one instant");
            return;
        }
        if (*next > time.now())
            daemon.timersAtOnce = 0;
        daemon.timer = std::max(*next, time.now());
        time.at(*daemon.timer, [this, index, at = *daemon.timer] {
            if (daemons[index].timer != at)
                return;
            daemons[index].timer.reset();
            if (!daemons[index].frozen)
                deliver(index, TimerExpired{});
        });
    }

    [[nodiscard]] bool isCut(std::uint32_t a, std::uint32_t b) const
    {
        return cuts.contains(std::minmax(a, b));
    }

    /// Delivers a datagram; it may be lost, delayed or duplicated.
    void datagram(std::uint32_t from, std::uint32_t to, const std::function<void()> &arrive)
    {
        const int copies = chance(conditions.duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (chance(conditions.loss))
                continue;
            time.after(conditions.delay + upTo(conditions.jitter), [this, from, to, arrive] {
                if (!isCut(from, to))
                    arrive();
            });
        }
    }

    [[nodiscard]] std::optional<std::size_t> anyDaemon()
    {
        std::vector<std::size_t> known;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (daemons[i].inFabric)
                known.push_back(i);
        }
        if (known.empty())
            return std::nullopt;
        return known[boost::random::uniform_int_distribution<std::size_t>{0, known.size()
                                                                                 - 1}(random)];
    }

    void fromCaller(const Endpoint &caller, CallerMessage message)
    {
        const std::optional<std::size_t> entry = anyDaemon();
        if (!entry)
            return;
        datagram(caller.address, daemons[*entry].identity.address.address,
                 [this, entry, caller, message] {
                     deliver(*entry, FromCaller{caller, message});
                 });
    }

    void carryOut(std::size_t from, const SendToCaller &action)
    {
        if (loseToCaller(action.message))
            return;
        datagram(daemons[from].identity.address.address, action.caller.address, [this, action] {
            if (const auto request = requests.find(action.caller); request != requests.end())
                request->second->receive(std::get<RequestMessage>(action.message));
            if (const auto flow = flows.find(action.caller); flow != flows.end())
                flow->second->receive(std::get<FlowMessage>(action.message));
        });
    }

    void carryOut(std::size_t from, const SendToPeer &action)
    {
        const NodeIdentity sender = daemons[from].identity;
        datagram(sender.address.address, action.peer.address, [this, sender, action] {
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                if (daemons[i].identity.address != action.peer)
                    continue;
                deliver(i, FromPeer{sender.address,
                                    {sender.daemon, sender.incarnation, action.message}});
            }
        });
    }

    void carryOut(std::size_t from, const SendToTarget &action)
    {
        const std::uint32_t sender = daemons[from].identity.address.address;
        datagram(sender, action.target.address, [this, action] {
            for (auto &[id, target] : targets) {
                if (target->config.flows != action.target)
                    continue;
                if (const auto answer = target->fromDaemon(action.datagram))
                    fromTarget(target->config.flows, *answer);
            }
        });
    }

    void fromTarget(const Endpoint &address, const TargetDatagram &answer)
    {
        std::optional<std::size_t> to = answer.replyTo.isNull() ? anyDaemon() : std::nullopt;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (daemons[i].identity.address == answer.replyTo)
                to = i;
        }
        if (to)
            datagram(address.address, daemons[*to].identity.address.address,
                     [this, to, address, answer] {
                         deliver(*to, FromTarget{address, answer});
                     });
    }

    void carryOut(std::size_t from, const OpenLink &action)
    {
        const std::uint64_t connection = ++m_connections;
        m_links[{from, action.target}] = connection;
        FakeTarget &target = *targets.at(action.target);
        const bool reached
            = !target.dead
              && !isCut(daemons[from].identity.address.address, target.config.requests.address);
        time.after(reached ? 1ms : 200ms, [this, from, action, connection, reached] {
            if (m_links[{from, action.target}] != connection)
                return;
            if (reached)
                deliver(from, LinkOpened{action.target, action.generation});
            else
                breakLink(from, action.target);
        });
    }

    void carryOut(std::size_t from, const CloseLink &action)
    {
        m_links.erase({from, action.target});
    }

    void carryOut(std::size_t from, const SendOnLink &action)
    {
        overLink(from, action.target, [this, from, action] {
            targets.at(action.target)
                ->fromLink(
                    from, action.message,
                    [this, target = action.target](std::size_t daemon, const LinkMessage &reply) {
                        onTargetReply(target, reply);
                        overLink(daemon, target, [this, daemon, target, reply] {
                            deliver(daemon,
                                    FromLink{target, targets.at(target)->config.generation, reply});
                        });
                    });
        });
    }

    /// Delivers a message in order; a network partition breaks the connection after a second.
    void overLink(std::size_t daemon, TargetId target, std::function<void()> arrive)
    {
        const auto found = m_links.find({daemon, target});
        if (found == m_links.end())
            return;
        const std::uint64_t connection = found->second;
        const std::uint32_t a = daemons[daemon].identity.address.address;
        const std::uint32_t b = targets.at(target)->config.requests.address;
        const bool through = !isCut(a, b);
        time.after(through ? 500us : 1s, [this, daemon, target, connection, through, arrive] {
            const auto still = m_links.find({daemon, target});
            if (still == m_links.end() || still->second != connection)
                return;
            if (through)
                arrive();
            else
                breakLink(daemon, target);
        });
    }

    void breakLink(std::size_t daemon, TargetId target)
    {
        if (m_links.erase({daemon, target}) > 0)
            deliver(daemon, LinkClosed{target, targets.at(target)->config.generation});
    }

    void closeLinksOf(std::size_t daemon)
    {
        std::erase_if(m_links, [&](const auto &link) { return link.first.first == daemon; });
    }

    void carryOut(std::size_t, const ProposeCommand &action) { proposals.push_back(action); }
    void carryOut(std::size_t, const auto &) {} // Notices and observations.
    void carryOut(std::size_t from, const Stopped &)
    {
        daemons[from].stoppedAt = time.now();
        daemons[from].alive = false;
        daemons[from].inFabric = false;
        closeLinksOf(from);
    }

    std::shared_ptr<KeyRing> m_keys;
    std::map<LinkKey, std::uint64_t> m_links;
    std::uint64_t m_connections = 0;
};

} // namespace baobabtrail::fake
