/// \file
/// \brief Cost of the core's decisions: nanoseconds per event that a TrafficNode handles, including
/// the query for its next timer, and per token check.
///
/// Prints the best and the median of several rounds, which shows the noise of a shared machine.

#include "command_line.h"
#include "core/traffic/traffic_node.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <utility>
#include <vector>

DEFINE_uint32(rounds, 9, "Rounds of each measurement");
DEFINE_uint32(events, 20000, "Events in a round");

namespace {

using namespace baobabtrail;

constexpr Endpoint Caller{0x0b000001, 5000};
constexpr std::uint32_t TargetCount = 14;
constexpr Generation TargetGeneration{5};

/// \brief A single node that owns all fourteen targets of a service.
class Bench
{
public:
    Bench()
        : m_keys(std::make_shared<KeyRing>(std::vector<std::byte>(32, std::byte{7}), KeyEpoch{1}))
        , m_node({DaemonId{1}, Incarnation{1}, "alx-raml", Endpoint{0x0a000001, 7000}, {}}, {},
                 m_keys, 1)
    {
        auto view = std::make_shared<View>();
        view->self = DaemonId{1};
        view->domain = "alx-raml";
        view->members.push_back({DaemonId{1},
                                 Incarnation{1},
                                 Endpoint{0x0a000001, 7000},
                                 {},
                                 "alx-raml",
                                 MemberState::Alive,
                                 Revision{1}});
        handle(ViewChanged{view});
        auto config = std::make_shared<Config>();
        config->revision = Revision{9};
        ServiceConfig &lending = config->services[m_service];
        lending.id = m_service;
        lending.workspace = "alexandria";
        for (std::uint32_t i = 0; i < TargetCount; ++i)
            add(lending, i);
        handle(ConfigChanged{config});
        for (const auto &[id, target] : lending.targets) {
            handle(LinkOpened{id, TargetGeneration});
            handle(FromLink{id, TargetGeneration, LinkHelloReply{m_service, {}}});
        }
    }

    void flowData()
    {
        measure("FlowData", [this](std::uint64_t) { sendData(); });
    }

    void keepAlive()
    {
        const FlowToken token = openFlow(2);
        measure("KeepAlive", [&](std::uint64_t) {
            handle(FromCaller{Caller, FlowMessage{KeepAlive{FlowId{2}, token, 0}}});
        });
    }

    void open()
    {
        measure("OpenFlow + AcceptFlow", [this](std::uint64_t i) { (void)openFlow(1000 + i); });
    }

    /// \brief Passes requests through the three decisions batch by batch, so that each decision is
    /// measured separately.
    void request()
    {
        constexpr std::uint32_t batch = TargetCount;
        std::vector<double> reserve;
        std::vector<double> data;
        std::vector<double> done;
        for (std::uint32_t i = 0; i < FLAGS_rounds * FLAGS_events / batch; ++i) {
            m_now += 5ms;
            std::vector<ReservationToken> tokens;
            std::vector<SendOnLink> dispatches;
            reserve.push_back(timed(batch, [&] { tokens.push_back(this->reserve()); }));
            std::size_t next = 0;
            data.push_back(timed(batch, [&] {
                dispatches.push_back(send(tokens[next], m_nextRequest - batch + next));
                ++next;
            }));
            next = 0;
            done.push_back(timed(batch, [&] { finish(dispatches[next++]); }));
        }
        print("Reserve", reserve);
        print("RequestData", data);
        print("AttemptDone", done);
    }

    void tokenCheck()
    {
        const FlowToken token = openFlow(3);
        std::size_t held = 0;
        measure("flow token check", [&](std::uint64_t) {
            held += m_keys->checkFlow(FlowId{3}, token) == TokenError::None ? 1 : 0;
        });
        if (held == 0)
            std::puts("no token held");
    }

private:
    static void add(ServiceConfig &service, std::uint32_t index)
    {
        TargetConfig target;
        target.name = "t" + std::to_string(index);
        target.id = targetId(service.id, target.name);
        target.generation = TargetGeneration;
        target.domain = "alx-raml";
        target.flows = Endpoint{0x0d000000 + index, 9000};
        target.requests = Endpoint{0x0d000000 + index, 9001};
        target.slots = 2;
        service.targets[target.id] = target;
    }

    void handle(TrafficEvent event)
    {
        m_actions.clear();
        m_node.handle(std::move(event), m_now, m_actions);
        (void)m_node.nextTimer(); // The daemon calls it after each event.
    }

    template <typename Action>
    [[nodiscard]] const Action &action() const
    {
        for (const TrafficAction &candidate : m_actions) {
            if (const Action *wanted = std::get_if<Action>(&candidate))
                return *wanted;
        }
        std::puts("an expected action is missing");
        std::exit(1);
    }

    [[nodiscard]] FlowToken openFlow(std::uint64_t id)
    {
        m_now += 100us;
        handle(FromCaller{Caller, FlowMessage{OpenFlow{FlowId{id}, m_service, {}, 0}}});
        const SendToTarget sent = action<SendToTarget>();
        const FlowToken token = sent.datagram.token;
        handle(FromTarget{sent.target,
                          {Caller, token, {}, LoadReport{}, AcceptFlow{FlowId{id}, token}}});
        return token;
    }

    void sendData()
    {
        if (m_token.address.isNull())
            m_token = openFlow(1);
        handle(FromCaller{Caller, FlowMessage{FlowData{FlowId{1}, m_token, std::string(64, 'x')}}});
    }

    [[nodiscard]] ReservationToken reserve()
    {
        Reserve reserve;
        reserve.request = RequestId{m_nextRequest++, 1};
        reserve.service = m_service;
        reserve.timeLeft = 500ms;
        handle(FromCaller{Caller, RequestMessage{reserve}});
        const auto &reply = std::get<RequestMessage>(action<SendToCaller>().message);
        return std::get<Reserved>(reply).token;
    }

    [[nodiscard]] SendOnLink send(const ReservationToken &token, std::uint64_t id)
    {
        handle(FromCaller{Caller, RequestMessage{RequestData{RequestId{id, 1}, token, "swap"}}});
        return action<SendOnLink>();
    }

    void finish(const SendOnLink &sent)
    {
        const AttemptId attempt = std::get<Dispatch>(sent.message).attempt;
        handle(FromLink{sent.target, TargetGeneration, AttemptDone{attempt, {}, "done"}});
    }

    /// \return Nanoseconds per call, over \a count calls.
    template <typename Call>
    [[nodiscard]] static double timed(std::uint32_t count, const Call &call)
    {
        const auto start = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < count; ++i)
            call();
        const std::chrono::duration<double, std::nano> took
            = std::chrono::steady_clock::now() - start;
        return took.count() / count;
    }

    static void print(const char *what, std::vector<double> &samples)
    {
        std::sort(samples.begin(), samples.end());
        std::printf("%-24s best %7.0f ns   median %7.0f ns\n", what, samples.front(),
                    samples[samples.size() / 2]);
    }

    static void measure(const char *what, const std::function<void(std::uint64_t)> &event)
    {
        std::vector<double> rounds;
        for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
            std::uint64_t i = std::uint64_t{round} * FLAGS_events;
            rounds.push_back(timed(FLAGS_events, [&] { event(i++); }));
        }
        print(what, rounds);
    }

    std::shared_ptr<KeyRing> m_keys;
    ServiceId m_service = serviceId("alexandria", "lending");
    TrafficNode m_node;
    TimePoint m_now{1h};
    TrafficActions m_actions;
    FlowToken m_token;
    std::uint64_t m_nextRequest = 1;
};

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(argc, argv, "bench-decisions [flags]: the cost of the core's decisions");
    Bench bench;
    bench.tokenCheck();
    bench.flowData();
    bench.keepAlive();
    bench.open();
    bench.request();
    return 0;
}
