/// \file
/// \brief Compares forwarding by the daemon's data path with a bare UDP relay, on one core and over
/// loopback in the same run, and measures the cost of a token check.
///
/// All relays read and send in batches of the same size and differ only in what they do with each
/// datagram. Rates are datagrams per second of processor time of the relay's thread, so that the
/// sending threads don't count.

#include "command_line.h"
#include "core/keys.h"
#include "core/traffic/traffic_node.h"
#include "wire/codec.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

DEFINE_uint64(datagrams, 300000, "datagrams for each measurement");
DEFINE_uint32(rounds, 5, "measurements of each relay; the median is printed");
DEFINE_uint32(payload, 200, "bytes of flow data in a datagram");
DEFINE_uint32(senders, 3, "sending threads");

namespace {

using namespace baobabtrail;

constexpr std::size_t BatchSize = 32;
constexpr std::size_t SlotBytes = 2048;
constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint64_t FlowCount = 1024;

/// \brief A UDP socket on a free port of 127.0.0.1.
class Socket
{
public:
    Socket()
        : m_handle(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = toSockaddr({Loopback, 0});
        if (m_handle < 0 || bind(m_handle, reinterpret_cast<sockaddr *>(&address), sizeof address))
            throw std::runtime_error("can't open a socket");
        const timeval timeout{0, 100000};
        setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }
    ~Socket() { close(m_handle); }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    [[nodiscard]] int handle() const noexcept { return m_handle; }
    [[nodiscard]] Endpoint address() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(m_handle, reinterpret_cast<sockaddr *>(&address), &size);
        return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
    }

    [[nodiscard]] static sockaddr_in toSockaddr(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.address);
        return address;
    }

private:
    int m_handle;
};

/// \brief Buffers for the datagrams of one system call.
struct Batch
{
    Batch()
        : bytes(std::make_unique<char[]>(BatchSize * SlotBytes))
    {
        for (std::size_t i = 0; i < BatchSize; ++i) {
            vectors[i] = {bytes.get() + i * SlotBytes, SlotBytes};
            headers[i] = {};
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
    }

    std::unique_ptr<char[]> bytes;
    std::array<iovec, BatchSize> vectors{};
    std::array<mmsghdr, BatchSize> headers{};
};

/// \brief The datagram to send in response to a received one.
struct Outgoing
{
    Endpoint to;
    std::string bytes;
};
/// \brief Processes a received datagram; returns empty bytes to drop it.
using Work = std::function<Outgoing(std::string_view)>;

[[nodiscard]] double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void sendAll(const Socket &socket, std::vector<Outgoing> &out)
{
    std::array<mmsghdr, BatchSize> headers{};
    std::array<iovec, BatchSize> vectors{};
    std::array<sockaddr_in, BatchSize> addresses{};
    for (std::size_t i = 0; i < out.size(); ++i) {
        addresses[i] = Socket::toSockaddr(out[i].to);
        vectors[i] = {out[i].bytes.data(), out[i].bytes.size()};
        headers[i].msg_hdr.msg_iov = &vectors[i];
        headers[i].msg_hdr.msg_iovlen = 1;
        headers[i].msg_hdr.msg_name = &addresses[i];
        headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    sendmmsg(socket.handle(), headers.data(), static_cast<unsigned>(out.size()), 0);
    out.clear();
}

/// \return Datagrams per second of this thread's processor time.
[[nodiscard]] double relay(const Socket &socket, const Work &work)
{
    Batch batch;
    std::vector<Outgoing> out;
    std::uint64_t passed = 0;
    const double start = threadSeconds();
    while (passed < FLAGS_datagrams) {
        const int count
            = recvmmsg(socket.handle(), batch.headers.data(), BatchSize, MSG_WAITFORONE, nullptr);
        for (int i = 0; i < count; ++i) {
            const auto index = static_cast<std::size_t>(i);
            Outgoing outgoing
                = work({batch.bytes.get() + index * SlotBytes, batch.headers[index].msg_len});
            if (outgoing.bytes.empty())
                throw std::runtime_error("a datagram was not received");
            out.push_back(std::move(outgoing));
        }
        passed += out.size();
        if (!out.empty())
            sendAll(socket, out);
    }
    return static_cast<double>(passed) / (threadSeconds() - start);
}

/// \brief Sends the given datagrams in a loop until stopped.
class Load
{
public:
    Load(const std::vector<std::string> &datagrams, Endpoint to)
    {
        for (std::uint32_t i = 0; i < FLAGS_senders; ++i)
            m_threads.emplace_back([this, &datagrams, to] { run(datagrams, to); });
    }
    ~Load()
    {
        m_stop = true;
        for (std::thread &thread : m_threads)
            thread.join();
    }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

private:
    void run(const std::vector<std::string> &datagrams, Endpoint to)
    {
        const Socket socket;
        std::vector<Outgoing> out;
        std::size_t next = 0;
        while (!m_stop) {
            for (std::size_t i = 0; i < BatchSize; ++i)
                out.push_back({to, datagrams[next++ % datagrams.size()]});
            sendAll(socket, out);
        }
    }

    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
};

[[nodiscard]] double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// \return Nanoseconds of processor time per call of \a work.
template <typename Function>
[[nodiscard]] double nanosecondsOf(Function work)
{
    constexpr int calls = 200000;
    std::vector<double> rounds;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        const double start = threadSeconds();
        for (int i = 0; i < calls; ++i)
            work(static_cast<std::size_t>(i));
        rounds.push_back((threadSeconds() - start) * 1e9 / calls);
    }
    return median(rounds);
}

/// \brief Flows with their tokens, and the datagrams of both directions.
struct Traffic
{
    explicit Traffic(const Endpoint &target)
    {
        const std::string payload(FLAGS_payload, 'x');
        const Endpoint caller{Loopback, 40000};
        for (std::uint64_t i = 1; i <= FlowCount; ++i) {
            FlowToken token;
            token.service = ServiceId{7};
            token.target = TargetId{9};
            token.generation = Generation{1};
            token.revision = Revision{1};
            token.address = target;
            const FlowId flow{i * 0x9E3779B97F4A7C15ULL};
            token = keys.sealFlow(flow, token);
            flows.push_back({flow, token, payload});
            fromCallers.push_back(wire::proxyHeader(caller, target)
                                  + wire::encode(CallerMessage{FlowMessage{flows.back()}}));
            fromTargets.push_back(
                wire::proxyHeader(target, target)
                + wire::encode(TargetDatagram{
                    target, token, {}, LoadReport{1, 0, 2000}, FlowMessage{flows.back()}}));
        }
    }

    std::shared_ptr<const KeyRing> ring
        = std::make_shared<const KeyRing>(std::vector<std::byte>(32, std::byte{1}), KeyEpoch{1});
    const KeyRing &keys = *ring;
    std::vector<FlowData> flows;
    std::vector<std::string> fromCallers;
    std::vector<std::string> fromTargets;
};

/// \brief Decodes a datagram from a caller, checks its token and encodes it for the target.
[[nodiscard]] Outgoing toTarget(const KeyRing &keys, std::string_view bytes)
{
    const auto proxied = wire::parseProxied(bytes);
    auto decoded = wire::decodeCaller(proxied->payload);
    auto &data = std::get<FlowData>(std::get<FlowMessage>(std::get<CallerMessage>(decoded)));
    if (keys.checkFlow(data.flow, data.token) != TokenError::None)
        return {};
    const FlowToken token = data.token;
    return {token.address, wire::encode(TargetDatagram{
                               proxied->source, token, {}, {}, FlowMessage{std::move(data)}})};
}

/// \brief Decodes a datagram from a target, checks its token and encodes it for the caller.
[[nodiscard]] Outgoing toCaller(const KeyRing &keys, std::string_view bytes)
{
    const auto proxied = wire::parseProxied(bytes);
    auto decoded = wire::decodeTarget(proxied->payload);
    auto &datagram = std::get<TargetDatagram>(decoded);
    const auto &data = std::get<FlowData>(datagram.body);
    if (keys.checkFlow(data.flow, datagram.token) != TokenError::None)
        return {};
    return {datagram.caller, wire::encode(CallerMessage{std::move(datagram.body)})};
}

/// \brief A TrafficNode whose configuration contains the target of the flows.
class Node
{
public:
    Node(const Traffic &traffic, const Endpoint &target)
        : m_node({DaemonId{1}, Incarnation{1}, "domain", {Loopback, 1}, {Loopback, 2}}, {},
                 traffic.ring, 1)
    {
        auto config = std::make_shared<Config>();
        config->revision = Revision{1};
        ServiceConfig &service = config->services[ServiceId{7}];
        service.id = ServiceId{7};
        TargetConfig &entry = service.targets[TargetId{9}];
        entry.id = TargetId{9};
        entry.generation = Generation{1};
        entry.flows = target;
        m_node.handle(ConfigChanged{std::move(config)}, now(), m_actions);
        m_actions.clear();
    }

    [[nodiscard]] Outgoing toTarget(std::string_view bytes)
    {
        const auto proxied = wire::parseProxied(bytes);
        auto decoded = wire::decodeCaller(proxied->payload);
        m_node.handle(FromCaller{proxied->source, std::move(std::get<CallerMessage>(decoded))},
                      now(), m_actions);
        const auto &send = std::get<SendToTarget>(m_actions.front());
        Outgoing out{send.target, wire::encode(send.datagram)};
        m_actions.clear();
        return out;
    }

    [[nodiscard]] Outgoing toCaller(std::string_view bytes)
    {
        const auto proxied = wire::parseProxied(bytes);
        auto decoded = wire::decodeTarget(proxied->payload);
        m_node.handle(FromTarget{proxied->source, std::move(std::get<TargetDatagram>(decoded))},
                      now(), m_actions);
        const auto &send = std::get<SendToCaller>(m_actions.front());
        Outgoing out{send.caller, wire::encode(send.message)};
        m_actions.clear();
        return out;
    }

private:
    [[nodiscard]] static TimePoint now()
    {
        return TimePoint{std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch())};
    }

    TrafficNode m_node;
    TrafficActions m_actions;
};

/// \brief One of the compared relays, with its measured rates.
struct RelayVariant
{
    const char *name;
    const std::vector<std::string> &datagrams;
    Work work;
    std::vector<double> rates;
};

void printRelays(const Socket &sink, const Traffic &traffic)
{
    const Endpoint to = sink.address();
    const Work bare = [to](std::string_view bytes) { return Outgoing{to, std::string{bytes}}; };
    Node node{traffic, to};
    std::vector<RelayVariant> variants{
        {"bare relay", traffic.fromCallers, bare, {}},
        {"codec, to target",
         traffic.fromCallers,
         [&](std::string_view bytes) { return toTarget(traffic.keys, bytes); },
         {}},
        {"codec, to caller",
         traffic.fromTargets,
         [&](std::string_view bytes) { return toCaller(traffic.keys, bytes); },
         {}},
        {"node, to target",
         traffic.fromCallers,
         [&](std::string_view bytes) { return node.toTarget(bytes); },
         {}},
        {"node, to caller",
         traffic.fromTargets,
         [&](std::string_view bytes) { return node.toCaller(bytes); },
         {}},
    };
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        for (RelayVariant &variant : variants) {
            const Socket socket;
            const Load load{variant.datagrams, socket.address()};
            variant.rates.push_back(relay(socket, variant.work));
        }
    }
    const double base = median(variants.front().rates);
    for (const RelayVariant &variant : variants) {
        const double rate = median(variant.rates);
        std::cout << std::left << std::setw(20) << variant.name << std::right << std::setw(10)
                  << std::fixed << std::setprecision(0) << rate << " datagrams/s of one core  "
                  << std::setprecision(2) << rate / base << " of the bare relay\n";
    }
}

void printCosts(const Traffic &traffic)
{
    std::size_t accepted = 0;
    const double check = nanosecondsOf([&](std::size_t i) {
        const FlowData &data = traffic.flows[i % FlowCount];
        accepted += traffic.keys.checkFlow(data.flow, data.token) == TokenError::None;
    });
    const double pass = nanosecondsOf([&](std::size_t i) {
        accepted += toTarget(traffic.keys, traffic.fromCallers[i % FlowCount]).bytes.size();
    });
    std::cout << "token check " << std::setprecision(0) << check << " ns, decode to encode " << pass
              << " ns\n";
    if (accepted == 0)
        throw std::runtime_error("no token was accepted");
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(
        argc, argv, "bench-relay [flags]: compares the daemon's data path with a bare UDP relay");
    const Socket sink;
    const Traffic traffic{sink.address()};
    std::cout << FLAGS_payload << " bytes of payload, batches of " << BatchSize << ", median of "
              << FLAGS_rounds << " rounds\n";
    printRelays(sink, traffic);
    printCosts(traffic);
    return 0;
}
