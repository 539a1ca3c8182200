/// \file
/// \brief Compares the forwarding rate of a complete daemon with that of a bare relay of the same
/// datagrams in the same run, and measures the daemon's memory per open flow.
///
/// The daemon runs in this process on a thread of its own; rates are per second of that thread's
/// processor time.

#include "daemon/daemon.h"
#include "command_line.h"
#include "core/access_key.h"
#include "core/keys.h"
#include "wire/codec.h"

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <span>
#include <stdexcept>
#include <thread>

DEFINE_uint32(rounds, 5, "rounds of each kind; the median is reported");
DEFINE_uint32(datagrams, 200000, "datagrams of a round");
DEFINE_uint32(payload_bytes, 200, "payload of a datagram");
DEFINE_uint32(flows, 100000, "flows whose datagrams are forwarded to measure the memory per flow");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::daemon;
using boost::asio::ip::udp;

constexpr Endpoint CallerAddress{0x7f000001, 40000};
constexpr std::size_t Window = 64; // datagrams in flight, so that no socket buffer overflows

[[nodiscard]] std::uint16_t freePort()
{
    boost::asio::io_context context;
    return udp::socket{context, {boost::asio::ip::address_v4::loopback(), 0}}
        .local_endpoint()
        .port();
}

[[nodiscard]] Endpoint loopback(std::uint16_t port)
{
    return {0x7f000001, port};
}

[[nodiscard]] std::size_t residentKilobytes()
{
    std::ifstream status{"/proc/self/statm"};
    std::size_t all = 0;
    std::size_t resident = 0;
    status >> all >> resident;
    return resident * 4;
}

/// \brief Processor time of a relay's thread, read from the thread's CPU clock.
class ThreadTime
{
public:
    void attach() noexcept
    {
        pthread_getcpuclockid(pthread_self(), &m_clock);
        m_attached = true;
    }
    [[nodiscard]] bool attached() const noexcept { return m_attached; }
    [[nodiscard]] double seconds() const noexcept
    {
        timespec time{};
        clock_gettime(m_clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

private:
    clockid_t m_clock{};
    std::atomic<bool> m_attached = false;
};

/// \brief Sends datagrams to a relay and waits for those that it forwards.
class Load
{
public:
    Load()
        : m_socket(m_context, udp::endpoint{boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    [[nodiscard]] Endpoint address() const { return loopback(m_socket.local_endpoint().port()); }

    /// \return Datagrams per second of the relay thread's processor time.
    template <typename Make>
    [[nodiscard]] double run(const Endpoint &relay, const ThreadTime &time, Make make)
    {
        const udp::endpoint to{boost::asio::ip::address_v4{relay.address}, relay.port};
        std::vector<char> buffer(wire::MaxDatagramBytes);
        const double start = time.seconds();
        for (std::size_t sent = 0; sent < FLAGS_datagrams; sent += Window) {
            for (std::size_t number = 0; number < Window; ++number)
                m_socket.send_to(boost::asio::buffer(make(sent + number)), to);
            for (std::size_t number = 0; number < Window; ++number)
                receive(buffer);
        }
        return FLAGS_datagrams / (time.seconds() - start);
    }

private:
    void receive(std::vector<char> &buffer)
    {
        pollfd wait{m_socket.native_handle(), POLLIN, 0};
        if (poll(&wait, 1, MaxWaitMs) <= 0)
            throw std::runtime_error("the relay did not forward a datagram");
        m_socket.receive(boost::asio::buffer(buffer));
    }

    static constexpr int MaxWaitMs = 2000;

    boost::asio::io_context m_context;
    udp::socket m_socket;
};

/// \brief Forwards datagrams with the daemon's own socket code, without decoding them.
class BareRelay
{
public:
    explicit BareRelay(const Endpoint &target)
        : m_socket(
            m_context, loopback(m_port), SocketSettings{}, m_counters,
            [this, target](const Datagram &datagram) {
                m_socket.send(target, std::string{datagram.bytes});
            },
            [](const std::string &) {})
        , m_thread([this] {
            m_time.attach();
            m_context.run();
        })
    {
    }
    ~BareRelay()
    {
        m_context.stop();
        m_thread.join();
    }
    BareRelay(const BareRelay &) = delete;
    BareRelay &operator=(const BareRelay &) = delete;

    [[nodiscard]] Endpoint address() const noexcept { return loopback(m_port); }
    [[nodiscard]] const ThreadTime &time() const noexcept { return m_time; }

private:
    std::uint16_t m_port = freePort();
    boost::asio::io_context m_context{1};
    SocketCounters m_counters;
    ThreadTime m_time;
    UdpSocket m_socket;
    std::thread m_thread;
};

/// \brief A complete daemon on a thread of its own.
class RunningDaemon
{
public:
    explicit RunningDaemon(Settings settings)
        : m_data(settings.addresses.data)
        , m_daemon(std::move(settings), Incarnation{1})
        , m_thread([this] {
            m_time.attach();
            static_cast<void>(m_daemon.run());
        })
    {
    }
    ~RunningDaemon()
    {
        std::raise(SIGTERM); // handled by the daemon, whichever thread receives it
        m_thread.join();
    }
    RunningDaemon(const RunningDaemon &) = delete;
    RunningDaemon &operator=(const RunningDaemon &) = delete;

    [[nodiscard]] Endpoint address() const noexcept { return m_data; }
    [[nodiscard]] const ThreadTime &time() const noexcept { return m_time; }

private:
    Endpoint m_data;
    ThreadTime m_time;
    Daemon m_daemon;
    std::thread m_thread;
};

[[nodiscard]] Settings settings()
{
    Settings result;
    result.daemon = DaemonId{1};
    result.domain = "bench";
    result.addresses
        = {loopback(freePort()), loopback(freePort()), loopback(freePort()), loopback(freePort())};
    result.fabric = {0x7f000001};
    result.platform.platform = loopback(1);
    result.clusterSecret = std::string(32, 'b');
    result.log.level = Severity::Error;
    result.stopLinger = 10ms;
    return result;
}

/// \brief Makes datagrams of flows as the fabric delivers them, with a valid token for \a target.
class FlowDatagrams
{
public:
    FlowDatagrams(const std::string &secret, const Endpoint &target)
        : m_keys(std::as_bytes(std::span{secret}), KeyEpoch{1})
        , m_target(target)
    {
    }

    [[nodiscard]] std::string make(std::uint64_t flow) const
    {
        FlowToken token;
        token.service = ServiceId{7};
        token.target = TargetId{9};
        token.generation = Generation{1};
        token.address = m_target;
        // Newer than the daemon's revision, so that the daemon relies on the token.
        token.revision = Revision{1};
        token = m_keys.sealFlow(FlowId{flow}, token);
        const FlowData data{FlowId{flow}, token, std::string(FLAGS_payload_bytes, 'x')};
        return wire::proxyHeader(CallerAddress, {})
               + wire::encode(CallerMessage{FlowMessage{data}});
    }

private:
    KeyRing m_keys;
    Endpoint m_target;
};

[[nodiscard]] double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void waitFor(const ThreadTime &time)
{
    while (!time.attached())
        std::this_thread::yield();
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(
        argc, argv,
        "bench-daemon [flags]: compares a complete daemon in one process with a bare relay");
    Load load;
    const Settings chosen = settings();
    const FlowDatagrams datagrams{chosen.clusterSecret, load.address()};
    const std::string one = datagrams.make(1);
    BareRelay bare{load.address()};
    RunningDaemon daemon{chosen};
    waitFor(bare.time());
    waitFor(daemon.time());

    const auto same = [&](std::size_t) -> const std::string & { return one; };
    std::vector<double> bareRates;
    std::vector<double> daemonRates;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        bareRates.push_back(load.run(bare.address(), bare.time(), same));
        daemonRates.push_back(load.run(daemon.address(), daemon.time(), same));
    }
    std::cout << "bare relay, datagrams a second of its thread: " << median(bareRates) << '\n'
              << "daemon, datagrams a second of its thread: " << median(daemonRates) << " ("
              << median(daemonRates) / median(bareRates) << " of the bare relay)\n";

    const std::size_t before = residentKilobytes();
    FLAGS_datagrams = FLAGS_flows;
    const double rate = load.run(daemon.address(), daemon.time(),
                                 [&](std::size_t flow) { return datagrams.make(flow + 1); });
    const std::size_t after = residentKilobytes();
    std::cout << "datagrams of " << FLAGS_flows << " flows, a second of its thread: " << rate
              << '\n'
              << "memory before them " << before << " KB, after them " << after << " KB: "
              << (static_cast<double>(after) - static_cast<double>(before)) * 1024 / FLAGS_flows
              << " bytes a flow\n";
    return 0;
}
