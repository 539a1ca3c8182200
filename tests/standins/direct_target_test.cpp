#include "direct/target.h"
#include "support/free_ports.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Id = 7;
constexpr std::uint32_t CallerSequence = 100;
constexpr std::uint32_t TargetSequence = 700000; ///< Initial sequence number of the target with Id.

/// \brief A target and a socket that sends packets to it as a daemon does.
struct Fixture
{
    explicit Fixture(const test::Ports &ports = test::freePorts(2))
        : target(context, {Loopback, ports[0]}, Id, "lending", ports[1], 1ms, log)
        , daemon(context, {Loopback, 0}, [](std::string_view, const Endpoint &) {})
        , caller{Loopback, ports[1]}
    {
    }

    void send(std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string &data)
    {
        Packet packet;
        packet.seq = seq;
        packet.ack = ack;
        packet.sum = 1;
        packet.source = caller;
        packet.destination = {0xC6120001, 443};
        packet.flags = flags;
        packet.data = data;
        constexpr std::string_view prefix{"\0\0\0\0\0\0\0\7", 8};
        daemon.send(target.address(), std::string{prefix} + packet.bytes());
        context.restart();
        context.run_for(20ms);
    }

    static constexpr std::uint32_t Loopback = 0x7F000001;
    boost::asio::io_context context;
    TargetLog log;
    Target target;
    UdpEnd daemon;
    Endpoint caller;
};

} // namespace

// Guards against a request that is counted as run twice: after the end of a flow, a daemon that had
// stalled delivers duplicates of the flow's opening and of the request.
Test(directTarget, anEndedFlowRunsNothingMore)
{
    Fixture fixture;
    const std::string request = "lending 1";
    const auto openAndAsk = [&] {
        fixture.send(Packet::Syn, CallerSequence, 0, "");
        fixture.send(Packet::Ack, CallerSequence + 1, TargetSequence + 1, request);
    };
    openAndAsk();
    cr_assert_eq(fixture.log.runs.at("1"), 1);
    cr_assert_eq(fixture.log.record.size(), 1U);
    cr_assert(fixture.log.record.front().target == Id
              && fixture.log.record.front().caller == fixture.caller);
    fixture.send(Packet::Ack | Packet::Fin,
                 CallerSequence + 1 + static_cast<std::uint32_t>(request.size()),
                 TargetSequence + 2, "");
    openAndAsk();
    cr_assert_eq(fixture.log.runs.at("1"), 1);
}
