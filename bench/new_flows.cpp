/// \file
/// \brief Processor time that a real daemon with direct forwarding spends on each new flow, at a
/// given number of them a second.
///
/// Only openings are sent; the targets' answers go where nobody listens.

#include "command_line.h"
#include "daemon/net/asio_endpoint.h"
#include "direct/packet.h"
#include "direct/world.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_uint32(rate, 31000, "new flows a second");
DEFINE_uint32(seconds, 2, "length of a round; a daemon tracks 65,536 flows");
DEFINE_uint32(rounds, 5, "rounds, each with a new daemon");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::standins;
using namespace std::chrono_literals;

constexpr std::size_t Targets = 10;
constexpr std::uint32_t DefaultLogLines = 20;

/// \return Processor time that a process has used so far.
[[nodiscard]] std::chrono::duration<double> processorTime(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/stat"};
    std::string line;
    std::getline(file, line);
    std::istringstream fields{line.substr(line.rfind(')') + 2)};
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return std::chrono::duration<double>{(user + system)
                                         / static_cast<double>(::sysconf(_SC_CLK_TCK))};
}

/// \brief Sends openings at a steady rate from a thread of its own.
class Openings
{
public:
    explicit Openings(const Endpoint &address)
        : m_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
        , m_thread([this, address] { sendAll(address); })
    {
    }
    ~Openings()
    {
        m_thread.join();
        ::close(m_socket);
    }
    Openings(const Openings &) = delete;
    Openings &operator=(const Openings &) = delete;

    [[nodiscard]] bool done() const noexcept { return m_done; }

private:
    void sendAll(const Endpoint &address)
    {
        constexpr auto step = 1ms;
        const sockaddr_in to = daemon::toSockaddr(address);
        const auto start = std::chrono::steady_clock::now();
        const std::uint64_t count = std::uint64_t{FLAGS_rate} * FLAGS_seconds;
        for (std::uint64_t sent = 0; sent < count;) {
            std::this_thread::sleep_for(step);
            const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
            const auto due = static_cast<std::uint64_t>(passed.count() * FLAGS_rate);
            for (; sent < std::min(due, count); ++sent) {
                const std::string bytes = opening(sent).bytes();
                (void)::sendto(m_socket, bytes.data(), bytes.size(), 0,
                               reinterpret_cast<const sockaddr *>(&to), sizeof to);
            }
        }
        m_done = true;
    }

    [[nodiscard]] static Packet opening(std::uint64_t number)
    {
        constexpr std::uint64_t ports = 60000;
        Packet packet;
        packet.seq = 100;
        packet.sum = 1;
        packet.flags = Packet::Syn;
        packet.source = {0x7F010001U + static_cast<std::uint32_t>(number / ports),
                         static_cast<std::uint16_t>(1024 + number % ports)};
        packet.destination = World::routeOf(0);
        return packet;
    }

    int m_socket;
    std::atomic<bool> m_done = false;
    std::thread m_thread;
};

/// \return Processor time for each new flow, in microseconds.
[[nodiscard]] double measure()
{
    World world{1, 1, 1};
    world.logLinesPerSecond = DefaultLogLines;
    for (std::size_t index = 0; index < Targets; ++index)
        (void)world.addTarget("lending");
    world.startDaemon(0);
    if (!world.runUntil([&] { return world.inRotation() == 1; }, 10s))
        throw std::runtime_error("the daemon is not ready");
    const auto before = processorTime(world.processOf(0));
    {
        const Openings openings{world.packetsOf(0)};
        (void)world.runUntil([&] { return openings.done(); }, 10s * FLAGS_seconds);
    }
    world.run(200ms);
    const std::chrono::duration<double, std::micro> took
        = processorTime(world.processOf(0)) - before;
    return took.count() / (FLAGS_rate * FLAGS_seconds);
}

} // namespace

int main(int argc, char **argv)
{
    readFlags(argc, argv,
              "bench-new_flows [flags]: processor time of a real daemon for each new flow");
    std::vector<double> rounds;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round)
        rounds.push_back(measure());
    std::sort(rounds.begin(), rounds.end());
    std::cout << std::fixed << std::setprecision(2) << FLAGS_rate << " new flows a second: median "
              << rounds[rounds.size() / 2] << " us each, " << rounds.front() << " to "
              << rounds.back() << '\n';
}
