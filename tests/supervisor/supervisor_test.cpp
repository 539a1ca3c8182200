#include "daemon/supervisor/supervisor.h"

#include <map>
#include <stdexcept>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr RestartPolicy Policy{100ms, 500ms, 3, 10s};

/// \brief A clock that only the test advances.
class VirtualClock
{
public:
    [[nodiscard]] SupervisorRuntime runtime()
    {
        return {[this] { return m_now; },
                [this](Duration delay, std::function<void()> call) {
                    m_calls.emplace(m_now + delay, std::move(call));
                },
                [this](const std::string &, const std::string &, Duration delay) {
                    delays.push_back(delay);
                }};
    }

    void advance(Duration by)
    {
        const TimePoint until = m_now + by;
        while (!m_calls.empty() && m_calls.begin()->first <= until) {
            auto next = m_calls.extract(m_calls.begin());
            m_now = std::max(m_now, next.key());
            next.mapped()();
        }
        m_now = until;
    }

    std::vector<Duration> delays;

private:
    TimePoint m_now{1h};
    std::multimap<TimePoint, std::function<void()>> m_calls;
};

/// \brief A child that fails on demand.
struct FakeChild
{
    int starts = 0;
    int stops = 0;
    bool throws = false;
    FailureHandler failed;

    [[nodiscard]] Child asChild(std::string name)
    {
        return {std::move(name),
                [this](FailureHandler handler) {
                    ++starts;
                    failed = std::move(handler);
                    if (throws)
                        throw std::runtime_error("the port is taken");
                },
                [this] { ++stops; }};
    }
};

} // namespace

// One child fails repeatedly, as with a broken port, while its sibling is healthy. It must be
// stopped and restarted with a growing delay, without the sibling being touched. A child that
// throws from its start is handled the same way.
Test(supervisor, failedChildIsRestartedAloneWithGrowingDelay)
{
    for (const bool throws : {false, true}) {
        VirtualClock clock;
        FakeChild failing;
        FakeChild healthy;
        failing.throws = throws;
        Supervisor root{"root", Policy, clock.runtime()};
        root.add(failing.asChild("weak"));
        root.add(healthy.asChild("well"));
        std::string gaveUp;
        root.start([&](const std::string &why) { gaveUp = why; });

        for (int failure = 1; failure <= 3; ++failure) {
            if (!throws)
                failing.failed("broken");
            cr_assert_eq(failing.starts, failure);
            clock.advance(Duration::zero());
            cr_assert_eq(failing.stops, failure);
            failing.throws = throws && failure < 3;
            clock.advance(clock.delays.back());
            cr_assert_eq(failing.starts, failure + 1);
        }
        cr_assert((clock.delays == std::vector<Duration>{100ms, 200ms, 400ms}));
        cr_assert(healthy.starts == 1 && healthy.stops == 0);
        cr_assert(gaveUp.empty());
    }
}

// One child fails more often than the policy allows within its window, so restarting it doesn't
// help. The supervisor must stop its other children, in reverse, and fail once itself; its parent
// then restarts the whole branch, and finally gives up too.
Test(supervisor, childThatKeepsFailingTakesItsParentDown)
{
    VirtualClock clock;
    FakeChild failing;
    FakeChild healthy;
    Supervisor root{"root", Policy, clock.runtime()};
    Supervisor branch{"branch", Policy, clock.runtime()};
    branch.add(healthy.asChild("well"));
    branch.add(failing.asChild("weak"));
    root.add(branch.asChild());
    std::vector<std::string> gaveUp;
    root.start([&](const std::string &why) { gaveUp.push_back(why); });

    for (int failure = 0; failure < 4; ++failure) {
        failing.failed("broken");
        clock.advance(600ms);
    }
    cr_assert_eq(healthy.stops, 1);
    cr_assert_eq(healthy.starts, 2, "the parent restarts the branch");
    cr_assert(gaveUp.empty());

    for (int failure = 0; failure < 12; ++failure) {
        failing.failed("broken");
        clock.advance(600ms);
    }
    cr_assert_eq(gaveUp.size(), 1);
    cr_assert_str_eq(gaveUp[0].c_str(), "branch: weak: broken");
    cr_assert_eq(healthy.starts, healthy.stops);
}

Test(supervisor, failuresOutsideTheWindowAreIgnored)
{
    VirtualClock clock;
    FakeChild failing;
    Supervisor root{"root", Policy, clock.runtime()};
    root.add(failing.asChild("weak"));
    bool gaveUp = false;
    root.start([&](const std::string &) { gaveUp = true; });
    for (int failure = 0; failure < 20; ++failure) {
        failing.failed("broken");
        clock.advance(4s);
    }
    cr_assert(!gaveUp);
    cr_assert_eq(failing.starts, 21);
}

// A handler of an earlier run reports a failure after the child was restarted. The report must not
// stop the new run.
Test(supervisor, lateReportOfAnEarlierRunIsIgnored)
{
    VirtualClock clock;
    FakeChild failing;
    Supervisor root{"root", Policy, clock.runtime()};
    root.add(failing.asChild("weak"));
    root.start([](const std::string &) {});
    const FailureHandler first = failing.failed;
    first("broken");
    first("broken, said twice");
    clock.advance(1s);
    cr_assert_eq(failing.starts, 2);
    first("broken, said late");
    clock.advance(1s);
    cr_assert_eq(failing.starts, 2);

    failing.failed("broken just before the daemon stops");
    clock.advance(Duration::zero());
    root.stop();
    clock.advance(1min);
    cr_assert_eq(failing.starts, 2);
    cr_assert_eq(failing.stops, 2);
}
