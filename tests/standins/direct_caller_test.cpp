#include "direct/caller.h"
#include "direct/target.h"
#include "support/free_ports.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace baobabtrail;
using namespace baobabtrail::standins;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t TargetNumber = 7;
constexpr std::string_view TargetPrefix{"\0\0\0\0\0\0\0\7", 8};
constexpr std::uint32_t Loopback = 0x7F000001;

/// \brief Simulates two processes by two event loops: a caller with a feed in one, and its target
/// behind a daemon that forwards everything in the other. The test runs each loop explicitly.
struct Fixture
{
    explicit Fixture(const test::Ports &ports = test::freePorts(3))
        : target(far, {Loopback, ports[0]}, TargetNumber, "lending", ports[1], 1ms, runs)
        , daemon(far, {Loopback, ports[2]},
                 [this](std::string_view bytes, const Endpoint &) { forward(bytes); })
        , rotation{{{Loopback, ports[2]}}}
        , caller(
              near, {Loopback, ports[1]}, rotation, [](const Endpoint &) { return true; }, answers)
    {
    }

    void forward(std::string_view bytes)
    {
        daemon.send(target.address(), std::string{TargetPrefix} + std::string{bytes});
    }

    void runBoth(std::chrono::milliseconds span)
    {
        for (auto ran = 0ms; ran < span; ran += 1ms) {
            near.restart();
            near.run_for(1ms);
            far.restart();
            far.run_for(1ms);
        }
    }

    /// \brief Runs only the other process, as if the caller's process had stalled.
    void stallCaller(std::chrono::milliseconds span)
    {
        far.restart();
        far.run_for(span);
    }

    /// \brief Runs until the feed's next request has reached the target.
    void untilNextRequest()
    {
        const std::size_t before = runs.record.size();
        for (int round = 0; round < 1000 && runs.record.size() == before; ++round)
            runBoth(1ms);
        cr_assert_gt(runs.record.size(), before);
    }

    [[nodiscard]] std::size_t ranTwice() const
    {
        return static_cast<std::size_t>(
            std::count_if(runs.runs.begin(), runs.runs.end(),
                          [](const auto &request) { return request.second > 1; }));
    }

    boost::asio::io_context far;
    boost::asio::io_context near;
    TargetLog runs;
    CallerLog answers;
    Target target;
    UdpEnd daemon;
    Rotation rotation;
    Caller caller;
};

} // namespace

// Guards against a caller that retransmits an answered request under the sequence number of the
// next one, so that it runs twice. It came about when the answer and the retransmission timer were
// ready in the same turn of the event loop.
Test(directCaller, anAnswerThatCameWithTheTimeoutIsTaken)
{
    constexpr auto longerThanAnyWait = 250ms;
    Fixture fixture;
    fixture.caller.feed({0xC6120001, 443}, "lending", 20ms);
    for (int pause = 0; pause < 3; ++pause) {
        fixture.untilNextRequest();
        fixture.stallCaller(longerThanAnyWait);
        fixture.runBoth(10ms);
        cr_assert_eq(fixture.ranTwice(), 0U);
    }
    const std::size_t before = fixture.runs.record.size();
    fixture.runBoth(300ms);
    cr_assert_eq(fixture.ranTwice(), 0U);
    cr_assert_gt(fixture.runs.record.size(), before, "the feed hangs");
    cr_assert_eq(fixture.answers.timedOut, 0U);
}
