#pragma once

#include "core/traffic/traffic_node.h"

#include <string>
#include <vector>

namespace baobabtrail::fake {

/// \brief Fixture with one TrafficNode that owns a few targets of one service, and the actions that
/// its last event caused.
class TrafficNodeFixture
{
public:
    static constexpr Endpoint Caller{0x0b000001, 5000};
    static constexpr Endpoint OtherPeer{0x0a000002, 7000};

    explicit TrafficNodeFixture(std::uint32_t targetCount = 1, std::uint32_t slots = 1,
                                TrafficSettings settings = {}, bool verify = true)
        : keys(std::make_shared<KeyRing>(std::vector<std::byte>(32, std::byte{7}), KeyEpoch{1}))
        , service(serviceId("alexandria", "lending"))
        , node(identity(), settings, keys, 1)
    {
        config.revision = Revision{10};
        ServiceConfig &lending = config.services[service];
        lending.id = service;
        lending.workspace = "alexandria";
        lending.name = "lending";
        for (std::uint32_t i = 0; i < targetCount; ++i)
            addTarget("t" + std::to_string(i), slots);
        view.self = identity().daemon;
        view.domain = "alx-raml";
        view.members.push_back({identity().daemon, identity().incarnation, identity().address,
                                identity().records, "alx-raml", MemberState::Alive, Revision{10}});
        handle(ViewChanged{std::make_shared<View>(view)});
        publish();
        for (const auto &[id, target] : config.services[service].targets) {
            if (verify)
                verifyLink(id);
        }
    }

    std::shared_ptr<KeyRing> keys;
    ServiceId service;
    Config config;
    View view;
    TimePoint now{Duration{1h}};
    TrafficNode node;
    TrafficActions actions;     ///< Caused by the last event.
    bool hellosAnswered = true; ///< Whether targets answer hellos in pass(), with
    LoadReport load;            ///< this load report.

    [[nodiscard]] static NodeIdentity identity()
    {
        return {DaemonId{100}, Incarnation{5}, "alx-raml", Endpoint{0x0a000001, 7000},
                Endpoint{0x0a000001, 7001}};
    }

    TargetConfig &addTarget(const std::string &name, std::uint32_t slots)
    {
        TargetConfig target;
        target.name = name;
        target.id = targetId(service, name);
        target.generation = Generation{5};
        target.domain = "alx-raml";
        const std::uint32_t address = 0x0d000000 + ++m_targets;
        target.flows = Endpoint{address, 9000};
        target.requests = Endpoint{address, 9001};
        target.slots = slots;
        return config.services[service].targets[target.id] = target;
    }

    [[nodiscard]] TargetConfig &target(const std::string &name = "t0")
    {
        return config.services[service].targets.at(targetId(service, name));
    }

    void publish()
    {
        config.revision = Revision{config.revision.value() + 1};
        handle(ConfigChanged{std::make_shared<Config>(config)});
    }

    void handle(TrafficEvent event)
    {
        actions.clear();
        node.handle(std::move(event), now, actions);
    }

    /// \brief Advances the time and runs the timers that are due.
    /// \return All actions that they caused.
    TrafficActions pass(Duration wait)
    {
        TrafficActions all;
        const TimePoint end = now + wait;
        while (node.nextTimer() && *node.nextTimer() <= end) {
            now = std::max(now, *node.nextTimer());
            handle(TimerExpired{});
            const TrafficActions done = actions;
            all.insert(all.end(), done.begin(), done.end());
            answerHellos(done);
        }
        now = end;
        actions = all;
        return all;
    }

    void verifyLink(TargetId id)
    {
        handle(LinkOpened{id, Generation{5}});
        handle(FromLink{id, Generation{5}, LinkHelloReply{service, load}});
    }

    void fromCaller(CallerMessage message) { handle(FromCaller{Caller, std::move(message)}); }
    void fromLink(TargetId id, LinkMessage message)
    {
        handle(FromLink{id, Generation{5}, std::move(message)});
    }

    /// \return Messages of a kind that the last event sent to callers.
    template <typename Message>
    [[nodiscard]] std::vector<Message> toCaller() const
    {
        std::vector<Message> found;
        for (const SendToCaller &sent : all<SendToCaller>()) {
            std::visit(
                [&](const auto &group) {
                    std::visit(
                        [&](const auto &message) {
                            if constexpr (std::is_same_v<std::decay_t<decltype(message)>, Message>)
                                found.push_back(message);
                        },
                        group);
                },
                sent.message);
        }
        return found;
    }

    /// \return Messages of a kind that the last event sent on links, with their targets.
    template <typename Message>
    [[nodiscard]] std::vector<std::pair<TargetId, Message>> onLinks() const
    {
        std::vector<std::pair<TargetId, Message>> found;
        for (const SendOnLink &sent : all<SendOnLink>()) {
            if (const Message *message = std::get_if<Message>(&sent.message))
                found.push_back({sent.target, *message});
        }
        return found;
    }

    template <typename Action>
    [[nodiscard]] std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const TrafficAction &action : actions) {
            if (const Action *wanted = std::get_if<Action>(&action))
                found.push_back(*wanted);
        }
        return found;
    }

    // Requests.

    [[nodiscard]] Reserve ask(std::uint64_t id, Duration timeLeft = 2s) const
    {
        Reserve reserve;
        reserve.request = RequestId{1, id};
        reserve.service = service;
        reserve.timeLeft = timeLeft;
        return reserve;
    }

    /// \return The reservation, or nothing if it was refused.
    std::optional<ReservationToken> reserve(const Reserve &reserve)
    {
        fromCaller(RequestMessage{reserve});
        const std::vector<Reserved> reserved = toCaller<Reserved>();
        return reserved.empty() ? std::nullopt : std::optional{reserved.front().token};
    }

    void send(std::uint64_t id, const ReservationToken &token)
    {
        fromCaller(RequestMessage{RequestData{RequestId{1, id}, token, "swap"}});
    }

    /// \brief Reserves and sends a request.
    /// \return Its dispatch, if it was dispatched at once.
    std::optional<std::pair<TargetId, Dispatch>> start(const Reserve &reserve)
    {
        const std::optional<ReservationToken> token = this->reserve(reserve);
        if (!token)
            return std::nullopt;
        send(reserve.request.low, *token);
        const auto dispatches = onLinks<Dispatch>();
        return dispatches.empty() ? std::nullopt : std::optional{dispatches.front()};
    }

    void done(const std::pair<TargetId, Dispatch> &dispatch)
    {
        fromLink(dispatch.first, AttemptDone{dispatch.second.attempt, {}, "done"});
    }
    void shed(const std::pair<TargetId, Dispatch> &dispatch)
    {
        fromLink(dispatch.first, AttemptNotRun{dispatch.second.attempt, {}, {}});
    }

private:
    void answerHellos(const TrafficActions &done)
    {
        for (const TrafficAction &action : done) {
            const SendOnLink *sent = std::get_if<SendOnLink>(&action);
            if (hellosAnswered && sent && std::holds_alternative<LinkHello>(sent->message))
                fromLink(sent->target, LinkHelloReply{service, load});
        }
    }

    std::uint32_t m_targets = 0;
};

} // namespace baobabtrail::fake
