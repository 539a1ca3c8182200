/// \file
/// \brief Costs and delays of the control side by number of daemons and of changes, in virtual
/// time. Platform calls and bytes are exact; delays depend on the latencies of the fake network.

#include "command_line.h"
#include "core/config/apply.h"
#include "core/config/record_codec.h"
#include "core/config/snapshot.h"
#include "tests/support/change_builder.h"
#include "tests/support/fake_control_net.h"
#include "wire/codec.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <vector>

DEFINE_uint64(largest, 630, "Skip sizes with more daemons than this.");
DEFINE_uint64(seed, 1, "Seed of the random generator.");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::test;
namespace acc = boost::accumulators;

using MeanAndMax = acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::max>>;

constexpr std::size_t DatagramHeaderBytes = 28; ///< IPv4 and UDP.
constexpr std::size_t FetchOverheadBytes = 500; ///< TCP and HTTP overhead of one fetch, both ways.
constexpr Duration Quiet = 30s;
constexpr std::size_t Services = 2000; ///< At the design size.
constexpr std::size_t Targets = 4400;
constexpr int Rounds = 20; ///< Repetitions of each time measurement.
constexpr std::size_t Changes = 8;
constexpr Duration BetweenChanges = 10s;

struct Size
{
    std::size_t domains;
    std::size_t perDomain;
    /// Daemons of a domain that call the platform.
    std::size_t watchers = ControlSettings{}.watchersPerDomain;
};

[[nodiscard]] KeyRing keys()
{
    return KeyRing{std::vector<std::byte>(32, std::byte{1}), KeyEpoch{1}};
}

/// \brief Counts the bytes that each daemon exchanges with other daemons.
class ByteCounter
{
public:
    explicit ByteCounter(FakeControlNet &net)
        : m_net(net)
        , m_bytes(net.size(), 0)
    {
        net.observe = [this](std::size_t node, const ControlAction &action) {
            if (const auto *sent = std::get_if<ControlSendToPeer>(&action))
                countDatagram(node, *sent);
            if (const auto *fetch = std::get_if<FetchFromPeer>(&action))
                m_bytes[node]
                    += FetchOverheadBytes / 2 + wire::encode(fetch->message, m_keys).size();
        };
        net.observeAnswer = [this](std::size_t server, std::size_t, const RecordsMessage &answer) {
            m_bytes[server] += FetchOverheadBytes / 2 + wire::encode(answer, m_keys).size();
        };
    }

    void reset() { std::fill(m_bytes.begin(), m_bytes.end(), 0); }

    /// \return Bytes sent per second by each daemon. The mean of bytes received is the same.
    [[nodiscard]] MeanAndMax sentPerSecond(Duration time) const
    {
        MeanAndMax result;
        for (const std::uint64_t bytes : m_bytes)
            result(static_cast<double>(bytes) / std::chrono::duration<double>(time).count());
        return result;
    }

private:
    void countDatagram(std::size_t node, const ControlSendToPeer &sent)
    {
        const NodeIdentity &from = m_net.identity(node);
        const PeerDatagram datagram{from.daemon, from.incarnation, sent.message};
        m_bytes[node] += DatagramHeaderBytes + wire::encode(datagram, m_keys).size();
    }

    FakeControlNet &m_net;
    KeyRing m_keys = keys();
    std::vector<std::uint64_t> m_bytes;
};

/// \brief Counts the handled events and the time spent on them.
class EventTimer
{
public:
    explicit EventTimer(FakeControlNet &net)
    {
        net.around = [this](std::size_t, const std::function<void()> &handle) {
            const auto begin = std::chrono::steady_clock::now();
            handle();
            m_spent += std::chrono::steady_clock::now() - begin;
            ++m_events;
        };
    }

    void reset() { *this = EventTimer{}; }
    [[nodiscard]] std::uint64_t events() const { return m_events; }
    [[nodiscard]] std::chrono::nanoseconds spent() const { return m_spent; }

private:
    EventTimer() = default;

    std::uint64_t m_events = 0;
    std::chrono::nanoseconds m_spent{0};
};

/// \brief Collects delays in milliseconds and prints their median and maximum.
class Delays
{
public:
    void add(Duration delay) { m_delays.push_back(delay); }
    [[nodiscard]] double median()
    {
        if (m_delays.empty())
            return 0;
        std::sort(m_delays.begin(), m_delays.end());
        return milliseconds(m_delays[m_delays.size() / 2]);
    }
    [[nodiscard]] double largest() const
    {
        if (m_delays.empty())
            return 0;
        return milliseconds(*std::max_element(m_delays.begin(), m_delays.end()));
    }

private:
    [[nodiscard]] static double milliseconds(Duration delay)
    {
        return std::chrono::duration<double, std::milli>(delay).count();
    }
    std::vector<Duration> m_delays;
};

void waitForEach(FakeControlNet &net, Duration limit, Duration step, Delays &delays,
                 const std::function<bool(std::size_t)> &reached)
{
    std::vector<bool> done(net.size(), false);
    const TimePoint begin = net.now();
    std::size_t left = net.size();
    while (left > 0 && net.now() - begin < limit) {
        net.run(step);
        for (std::size_t node = 0; node < net.size(); ++node) {
            if (done[node] || !reached(node))
                continue;
            done[node] = true;
            --left;
            delays.add(net.now() - begin);
        }
    }
    if (left > 0)
        std::cout << "  " << left << " daemons did not get there in time\n";
}

[[nodiscard]] double heapOfOneDaemon(FakeControlNet &net, std::size_t node)
{
    const std::size_t before = mallinfo2().uordblks;
    net.kill(node);
    return static_cast<double>(before - mallinfo2().uordblks) / 1024;
}

void measure(const Size &size)
{
    ControlSettings settings;
    settings.watchersPerDomain = size.watchers;
    FakeControlNet net{FLAGS_seed, settings};
    for (std::size_t domain = 0; domain < size.domains; ++domain) {
        for (std::size_t i = 0; i < size.perDomain; ++i)
            net.add("domain-" + std::to_string(domain));
    }
    ByteCounter bytes{net};
    EventTimer timer{net};
    net.startAll();
    // Membership updates about newly started members are still sent for some time.
    const Duration settling = 60s + size.perDomain * 1500ms;
    net.run(settling);
    const std::uint64_t settlingCalls = net.totalCalls();
    net.propose(0, declaration());
    net.run(5s);

    bytes.reset();
    timer.reset();
    const std::uint64_t quietBegin = net.totalCalls();
    net.run(Quiet);
    const double quietCalls = static_cast<double>(net.totalCalls() - quietBegin)
                              / std::chrono::duration<double>(Quiet).count();
    const double startCallsOfEach = (static_cast<double>(settlingCalls)
                                     - quietCalls * std::chrono::duration<double>(settling).count())
                                    / static_cast<double>(net.size());
    const MeanAndMax quietBytes = bytes.sentPerSecond(Quiet);
    const auto nodes = static_cast<double>(net.size());
    const double seconds = std::chrono::duration<double>(Quiet).count();
    const double cpu = static_cast<double>(timer.spent().count()) / nodes / seconds / 1e9;
    const double perEvent
        = static_cast<double>(timer.spent().count()) / static_cast<double>(timer.events());

    bytes.reset();
    Delays inForce;
    const std::uint64_t changeBegin = net.totalCalls();
    const TimePoint changesBegin = net.now();
    for (std::size_t i = 0; i < Changes; ++i) {
        const TimePoint begin = net.now();
        const Revision next{net.revision(0).value() + 1};
        net.propose(net.size() / 2,
                    change("c" + std::to_string(i), {SetWeight{targetName("lending", "t1"), 50}}));
        waitForEach(net, BetweenChanges, 1ms, inForce,
                    [&](std::size_t node) { return net.revision(node) >= next; });
        net.run(BetweenChanges - (net.now() - begin));
    }
    const Duration changeTime = net.now() - changesBegin;
    const double changeSeconds = std::chrono::duration<double>(changeTime).count();
    const double callsPerChange
        = (static_cast<double>(net.totalCalls() - changeBegin) - quietCalls * changeSeconds)
          / static_cast<double>(Changes);
    const MeanAndMax changeBytes = bytes.sentPerSecond(changeTime);

    const double heap = heapOfOneDaemon(net, 1);
    const DaemonId dead = net.identity(1).daemon;
    Delays detected;
    waitForEach(net, 20s, 100ms, detected, [&](std::size_t node) {
        const bool sees = net.alive(node) && node < size.perDomain;
        return !sees || !net.node(node).view()->find(dead);
    });

    std::cout << std::fixed << std::setprecision(1) << "| " << size.domains << " × "
              << size.perDomain << ", " << size.watchers << " | " << quietCalls << " | "
              << callsPerChange << " | " << startCallsOfEach << " | " << acc::mean(quietBytes)
              << " / " << acc::max(quietBytes) << " | "
              << (acc::mean(changeBytes) - acc::mean(quietBytes)) * changeSeconds / Changes << " / "
              << (acc::max(changeBytes) - acc::max(quietBytes)) * changeSeconds / Changes << " | "
              << inForce.median() << " / " << inForce.largest() << " | " << detected.largest()
              << " | " << perEvent / 1000 << " | " << std::setprecision(3) << cpu * 100 << " | "
              << std::setprecision(0) << heap << " |\n"
              << std::flush;
}

[[nodiscard]] Config designSize()
{
    Config config;
    config.revision = Revision{1};
    config.workspaces["alexandria"] = {"alexandria", std::string(64, 'a')};
    for (std::size_t i = 0; i < Services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        const ServiceId id = serviceId("alexandria", name);
        config.services[id] = {id, "alexandria", name, {}, {}};
    }
    for (std::size_t i = 0; i < Targets; ++i) {
        TargetConfig target;
        const ServiceId service
            = serviceId("alexandria", "service-" + std::to_string(i % Services));
        target.name = "vm-" + std::to_string(i);
        target.id = targetId(service, target.name);
        target.generation = Generation{1};
        target.domain = "alx-raml";
        target.flows = {0x0a000000 + static_cast<std::uint32_t>(i), 9000};
        target.requests = {0x0a000000 + static_cast<std::uint32_t>(i), 9001};
        target.stateSince = Revision{1};
        config.services[service].targets[target.id] = target;
    }
    return config;
}

template <typename Work>
[[nodiscard]] double millisecondsOf(Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Rounds; ++i)
        work();
    const std::chrono::duration<double, std::milli> spent
        = std::chrono::steady_clock::now() - begin;
    return spent.count() / Rounds;
}

/// \brief Sizes and times of the configuration at the design size: 2,000 services, 4,400 targets.
void measureState()
{
    const std::size_t before = mallinfo2().uordblks;
    const Config config = designSize();
    const std::size_t heap = mallinfo2().uordblks - before;
    const TargetName name{{"alexandria", "service-7"}, "vm-7"};
    ChangeRecord record = change("c-1", {DrainTarget{name}});
    record.revision = Revision{2};
    const Snapshot snapshot{config, {}};
    const std::vector<std::string> shards = encodeSnapshot(snapshot);
    std::size_t shardBytes = 0;
    for (const std::string &shard : shards)
        shardBytes += shard.size();

    const double apply = millisecondsOf([&] { (void)applyRecord(config, record); });
    const double encode = millisecondsOf([&] { (void)encodeSnapshot(snapshot); });
    const double decode = millisecondsOf([&] { (void)decodeSnapshot(shards); });
    const Endpoint peer{0x0a000001, 7000};
    const MemberUpdate own{DaemonId{1}, Incarnation{1}, 0,          MemberState::Alive,
                           peer,        peer,           "alx-raml", Revision{1000}};
    const PeerDatagram ping{DaemonId{1}, Incarnation{1}, Ping{1, {own}, 1s}};
    std::cout
        << "\n| record of one drain, bytes | snapshot, bytes | shards | heap, KiB | apply, ms | "
           "encode, ms | decode, ms | ping of one update, bytes with headers |\n"
           "|---|---|---|---|---|---|---|---|\n| "
        << encodeRecord(record).size() << " | " << shardBytes << " | " << shards.size() << " | "
        << heap / 1024 << std::setprecision(2) << " | " << apply << " | " << encode << " | "
        << decode << " | " << wire::encode(ping, keys()).size() + DatagramHeaderBytes << " |\n";
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(argc, argv,
                           "bench-control [flags]: costs of the control side in virtual time");
    std::cout
        << "| domains × daemons, watchers | calls/s, quiet | calls per change | calls per start | "
           "bytes/s sent, mean / max | bytes sent per change, mean / max | "
           "in force, ms, median / max | death seen by all, ms | µs per event | % of a core | "
           "KiB per daemon |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const Size &size : {Size{3, 3}, Size{3, 8}, Size{3, 20}, Size{3, 20, 20}, Size{1, 60},
                             Size{1, 105}, Size{6, 105}}) {
        if (size.domains * size.perDomain <= FLAGS_largest)
            measure(size);
    }
    measureState();
}
