#include "daemon/net/arrival_clock.h"

#include "daemon/clock.h"
#include "daemon/net/asio_endpoint.h"
#include "daemon/net/udp_socket.h"
#include "support/free_ports.h"
#include "support/stall_process.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr TimePoint Start{1h};
/// Of the wall clock over the core's, at the start.
constexpr std::chrono::nanoseconds FirstOffset = std::chrono::hours{500'000};

[[nodiscard]] ArrivalClock::WallTime wallOf(TimePoint time, Duration step = Duration{0})
{
    return ArrivalClock::WallTime{FirstOffset + time.time_since_epoch() + step};
}

/// \brief A clock whose buffer was empty at Start, and that reads datagrams \a later.
[[nodiscard]] ArrivalClock clockThatReads(Duration later, Duration step = Duration{0})
{
    ArrivalClock clock{{Start, wallOf(Start)}};
    clock.read({Start + later, wallOf(Start + later, step)});
    return clock;
}

} // namespace

Test(arrivalClock, aStampTellsHowLongADatagramWaited)
{
    const ArrivalClock clock = clockThatReads(3s);
    for (Duration waited = 0s; waited <= 3s; waited += 100ms)
        cr_assert(clock.arrivedAt(wallOf(Start + 3s - waited)) == Start + 3s - waited);
}

// Guards against openings that are dropped, or placed though they are old, as the wall clock is
// stepped while they wait.
Test(arrivalClock, aStepOfTheWallClockChangesNoAge)
{
    for (const Duration step : {Duration{-1h}, Duration{-4s}, Duration{4s}, Duration{1h}}) {
        const ArrivalClock clock = clockThatReads(3s, step);
        for (Duration waited = 0s; waited <= 3s; waited += 100ms) {
            const TimePoint arrived = Start + 3s - waited;
            cr_assert(clock.arrivedAt(wallOf(arrived)) == arrived);
            cr_assert(clock.arrivedAt(wallOf(arrived, step)) == arrived);
        }
    }
}

// A step that is shorter than the wait leaves two possible ages.
Test(arrivalClock, ofTwoPossibleAgesTheHigherOneCounts)
{
    const ArrivalClock clock = clockThatReads(3s, 1s);
    cr_assert(clock.arrivedAt(wallOf(Start + 1s, 1s)) == Start + 1s);
    cr_assert(clock.arrivedAt(wallOf(Start + 2s)) == Start + 1s);
}

Test(arrivalClock, anImpossibleStampCountsAsNone)
{
    ArrivalClock clock = clockThatReads(3s);
    cr_assert(clock.arrivedAt(std::nullopt) == Start + 3s);
    cr_assert(clock.arrivedAt(wallOf(Start + 1h)) == Start + 3s);
    cr_assert(clock.arrivedAt(wallOf(Start - 1h)) == Start + 3s);
    clock.emptied(Start + 2s);
    clock.read({Start + 4s, wallOf(Start + 4s)});
    cr_assert(clock.arrivedAt(wallOf(Start + 1s)) == Start + 4s);
}

// Guards against openings that are dropped though they came after a stall: nothing was unread then.
Test(arrivalClock, withoutStampsWhatWasUnreadAfterAStallIsAsOldAsThat)
{
    ArrivalClock clock = clockThatReads(3s);
    clock.stalled(Start + 1s, false);
    cr_assert(clock.arrivedAt(std::nullopt) == Start + 3s);
    clock.stalled(Start + 1s, true);
    cr_assert(clock.arrivedAt(std::nullopt) == Start + 1s);
    clock.emptied(Start + 3s);
    cr_assert(clock.arrivedAt(std::nullopt) == Start + 3s);
}

// Guards against a socket that takes what waited in its buffer as if it had just come.
Test(arrivalClock, aSocketTellsWhenItsDatagramsArrived)
{
    boost::asio::io_context context{1};
    SocketCounters counters;
    const Endpoint local{0x7F000001, test::freePorts(1)[0]};
    std::vector<Duration> waits;
    UdpSocket socket{
        context,
        local,
        {},
        counters,
        [&](const Datagram &datagram) { waits.push_back(monotonicNow() - datagram.receivedAt); },
        [](const std::string &) {}};
    using boost::asio::ip::udp;
    udp::socket sender{context, udp::v4()};
    test::stallProcess(100ms); // The kernel begins to stamp a moment after the first request.
    for (const Duration span : {Duration{300ms}, Duration{100ms}, Duration{0ms}}) {
        sender.send_to(boost::asio::buffer("any", 3), toAsio<udp>(local));
        test::stallProcess(span);
    }
    context.run_for(50ms);
    cr_assert_eq(waits.size(), 3);
    const Duration tolerance = 90ms;
    cr_assert(waits[0] >= 400ms && waits[0] < 400ms + tolerance);
    cr_assert(waits[1] >= 100ms && waits[1] < 100ms + tolerance);
    cr_assert(waits[2] < tolerance);
}

// Guards against an opening that is sent long after it was placed, as the process stalls in
// between.
Test(arrivalClock, whatHasExpiredInTheSendQueueIsNotSent)
{
    boost::asio::io_context context{1};
    SocketCounters counters;
    const Endpoint local{0x7F000001, test::freePorts(1)[0]};
    std::vector<std::string> received;
    UdpSocket socket{context,
                     local,
                     {},
                     counters,
                     [&](const Datagram &datagram) { received.emplace_back(datagram.bytes); },
                     [](const std::string &) {}};
    socket.send(local, "expires", monotonicNow() + 150ms);
    socket.send(local, "lasts", monotonicNow() + 1h);
    socket.send(local, "never expires");
    test::stallProcess(200ms);
    context.run_for(50ms);
    const std::vector<std::string> expected{"lasts", "never expires"};
    cr_assert(received == expected);
    cr_assert_eq(counters.sendExpired, 1);
}
