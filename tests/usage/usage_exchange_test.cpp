#include "usage/usage_fleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace baobabtrail;
using baobabtrail::test::UsageFleet;

namespace {

constexpr std::size_t Domains = 6;
/// Requests in flight of a daemon at which each domain is busy, and one at which none is.
constexpr double Busy = 20;
constexpr double Calm = 0.5;
/// As long as a report counts after its sender fell silent, with the way up the tree.
constexpr Duration ReportsEnd = 1500ms;

/// \return Daemons that all are busy and know of all.
[[nodiscard]] std::unique_ptr<UsageFleet> busyFleet(std::size_t perDomain, std::uint64_t seed = 1)
{
    auto fleet = std::make_unique<UsageFleet>(Domains, perDomain, seed);
    fleet->loadAll(Busy);
    fleet->time.run(10s);
    cr_assert(fleet->allSeeAll(), "%f of %f", fleet->seenBy(0), fleet->inFlight());
    return fleet;
}

void checkWithinASecond(std::size_t perDomain)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto fleet = busyFleet(perDomain, seed);
        fleet->loadAll(2 * Busy);
        const Duration took = fleet->timeUntil([&] { return fleet->allSeeAll(); }, 5s);
        cr_log_info("%zu daemons a domain: %lld ms", perDomain, static_cast<long long>(took / 1ms));
        cr_assert(took <= 1s, "%lld ms", static_cast<long long>(took / 1ms));
    }
}

} // namespace

Test(usageExchange, totalIsWithinASecondAt12)
{
    checkWithinASecond(12);
}

Test(usageExchange, totalIsWithinASecondAt35)
{
    checkWithinASecond(35);
}

Test(usageExchange, totalIsWithinASecondAt105)
{
    checkWithinASecond(105);
}

// A burst out of calm would be known only after some calm intervals, one for each level.
Test(usageExchange, burstOutOfCalmIsKnownSoon)
{
    UsageFleet fleet{Domains, 105};
    fleet.loadAll(Calm);
    fleet.time.run(20s);
    cr_assert(fleet.allSeeAll());
    fleet.loadAll(Busy);
    const Duration took = fleet.timeUntil([&] { return fleet.allSeeAll(); }, 10s);
    cr_log_info("%lld ms", static_cast<long long>(took / 1ms));
    cr_assert(took <= 3s, "%lld ms", static_cast<long long>(took / 1ms));
}

// A daemon whose own work turns busy must not wait for the end of a calm interval.
Test(usageExchange, busyDaemonReportsAtOnce)
{
    UsageFleet fleet{1, 7};
    fleet.loadAll(Calm);
    fleet.time.run(20s);
    fleet.load(6, fleet.busyAt);
    const double before = fleet.seenBy(1);
    const Duration took = fleet.timeUntil([&] { return fleet.seenBy(1) > 2 * before; }, 5s);
    cr_assert(took <= 600ms, "%lld ms", static_cast<long long>(took / 1ms));
}

// Each level lets the report of the one below age: the age that a total states must cover it.
Test(usageExchange, totalStatesTheAgeOfItsOldestPart)
{
    const auto fleet = busyFleet(35);
    const TimePoint changed = fleet->time.now();
    fleet->loadAll(2 * Busy);
    for (int step = 0; step < 200; ++step) {
        fleet->time.run(10ms);
        for (std::size_t index = 0; index < fleet->size(); ++index) {
            if (fleet->view(index)->measuredAt > changed + 250ms)
                cr_assert(fleet->seesAll(index));
        }
    }
}

// Loss of single datagrams must not make the total lose a part of the tree.
Test(usageExchange, lossOfDatagrams)
{
    const auto fleet = busyFleet(12);
    fleet->loss = 0.02;
    std::size_t good = 0;
    constexpr std::size_t steps = 400;
    for (std::size_t step = 0; step < steps; ++step) {
        fleet->time.run(50ms);
        cr_assert(fleet->mostSeen() <= 1.01 * fleet->inFlight());
        good += fleet->allSeeAll();
    }
    cr_assert(good >= steps * 95 / 100, "%zu of %zu", good, steps);
}

// Datagrams that come twice must not count twice, nor bring back what newer ones replaced.
Test(usageExchange, repeatedDatagrams)
{
    const auto fleet = busyFleet(12);
    fleet->repeat = 0.5;
    fleet->time.run(2s);
    fleet->loadAll(Busy / 2);
    fleet->time.run(1200ms);
    for (int step = 0; step < 100; ++step) {
        fleet->time.run(50ms);
        cr_assert(fleet->allSeeAll());
    }
}

// Datagrams that come late must not replace newer ones.
Test(usageExchange, lateDatagrams)
{
    const auto fleet = busyFleet(12);
    fleet->delay = 0.1;
    fleet->late = 5s;
    fleet->time.run(6s);
    fleet->loadAll(Busy / 2);
    fleet->time.run(2s);
    for (int step = 0; step < 100; ++step) {
        fleet->time.run(50ms);
        cr_assert(fleet->mostSeen() <= 1.01 * fleet->inFlight());
    }
}

// A daemon that restarts counts from one again: its new reports must not pass for old ones.
Test(usageExchange, restartedReporter)
{
    const auto fleet = busyFleet(12);
    constexpr std::size_t restarted = 5;
    fleet->kill(restarted);
    fleet->time.run(100ms);
    fleet->start(restarted);
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->allSeeAll());
}

// A daemon that died must not count for longer than its last report, whatever followed it.
Test(usageExchange, reportsOfADeadDaemonEnd)
{
    const auto fleet = busyFleet(12);
    const std::size_t last = fleet->size() - 1;
    fleet->kill(last);
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->allSeeAll(0.001));
}

// A daemon that stalled must not act on what was true before, and must report again at once.
Test(usageExchange, pausedReporter)
{
    const auto fleet = busyFleet(12);
    constexpr std::size_t paused = 5;
    fleet->freeze(paused, 3s);
    fleet->time.run(3s - 1ms);
    const double without = fleet->seenBy(0);
    cr_assert(without < fleet->inFlight());
    fleet->time.run(1ms);
    cr_assert_null(fleet->view(paused));
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->allSeeAll());
}

// Guards against a report that counts for longer than others, as it waited while its receiver
// stalled: a daemon that died would count as a follower all the while.
Test(usageExchange, aReportThatWaitedEndsWhenItWouldHave)
{
    constexpr std::size_t stalled = 5;
    constexpr std::size_t follower = UsageFleet::Roots + stalled * UsageFleet::Followers;
    const auto fleet = busyFleet(12);
    const auto follows = [&] {
        const auto neighbours = fleet->exchange(stalled).neighbours();
        return std::any_of(neighbours.begin(), neighbours.end(), [](const TreeNeighbour &each) {
            return each.address == UsageFleet::addressOf(follower);
        });
    };
    const UsageExchangeSettings &settings = fleet->settings;
    fleet->freeze(stalled, 900ms, false);
    fleet->time.run(400ms);
    fleet->kill(follower);
    fleet->time.run(500ms);
    cr_assert(follows());
    fleet->time.run(settings.missedReports * settings.busyInterval + settings.busyInterval - 500ms);
    cr_assert_not(follows());
}

// A subtree that changes its source must not count at both for longer than a report lasts.
Test(usageExchange, changeOfSource)
{
    const auto fleet = busyFleet(12);
    fleet->follow(3, 1); // With all daemons below it.
    for (int step = 0; step < 30; ++step) {
        fleet->time.run(50ms);
        cr_assert(fleet->seenBy(1) <= 2 * fleet->inFlight());
    }
    cr_assert(fleet->allSeeAll());
}

// Daemons that follow each other for a while must not add up their own reports without end.
Test(usageExchange, circleOfDaemons)
{
    const auto fleet = busyFleet(12);
    cr_assert(UsageFleet::sourceOf(15) == 3 && UsageFleet::sourceOf(63) == 15);
    fleet->follow(3, 63);
    fleet->time.run(10s);
    cr_assert(fleet->mostSeen() <= 1.01 * fleet->inFlight());
    fleet->follow(3, 0);
    // A fifth of all daemons was in the circle, whose reports went round four times at most.
    for (int step = 0; step < 150; ++step) {
        fleet->time.run(10ms);
        cr_assert(fleet->mostSeen() <= 2 * fleet->inFlight(), "%f", fleet->mostSeen());
    }
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->allSeeAll());
}

// A total that gets into a circle must not go round and round as fast as the network carries it.
Test(usageExchange, totalInACircle)
{
    const auto fleet = busyFleet(12);
    fleet->follow(3, 63);
    fleet->time.run(500ms);
    // It makes a total of its own, and follows again before that has come round.
    fleet->route(3, {});
    const std::uint64_t sent = fleet->exchange(3).counts().sent;
    cr_assert(fleet->time.runUntil([&] { return fleet->exchange(3).counts().sent > sent; }, 1s));
    fleet->follow(3, 63);
    const std::uint64_t received = fleet->exchange(15).counts().received;
    fleet->time.run(5s);
    const std::uint64_t more = fleet->exchange(15).counts().received - received;
    cr_assert(more < 300, "%llu", static_cast<unsigned long long>(more));
}

// In a cut-off half, the reports of the other half must end; both must be complete again after it.
Test(usageExchange, cutIntoHalves)
{
    const auto fleet = busyFleet(12);
    // The part below one root against the other two.
    const auto rootOf = [](std::size_t index) {
        while (index >= UsageFleet::Roots)
            index = UsageFleet::sourceOf(index);
        return index;
    };
    fleet->cut = [&](std::size_t from, std::size_t to) {
        return (rootOf(from) == 0) != (rootOf(to) == 0);
    };
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->seenBy(0) + fleet->seenBy(1) <= 1.01 * fleet->inFlight());
    cr_assert(fleet->seenBy(0) >= 0.25 * fleet->inFlight());
    fleet->cut = {};
    fleet->time.run(ReportsEnd);
    cr_assert(fleet->allSeeAll());
}

// A daemon without any contact must not keep a view of the others.
Test(usageExchange, viewEndsWithoutTotals)
{
    const auto fleet = busyFleet(12);
    constexpr std::size_t alone = 40;
    fleet->cut = [](std::size_t from, std::size_t to) { return from == alone || to == alone; };
    fleet->time.run(ReportsEnd);
    cr_assert_null(fleet->view(alone));
    UsageRoute route;
    fleet->route(alone, route);
    fleet->time.run(2s);
    cr_assert_eq(fleet->view(alone)->daemons, 1);
}

// A report that no daemon can have measured must not turn all plans.
Test(usageExchange, hugeReport)
{
    const auto fleet = busyFleet(12);
    UsageMessage lie;
    lie.incarnation = 77;
    lie.interval = 250ms;
    lie.usage[{UsageFleet::service(0), "tmtcs-0", "tmtcs-0", 1}] = {1e7, 0, 0, 0};
    const Endpoint liar{0x0A0A0A0A, 7720};
    for (int step = 0; step < 20; ++step) {
        ++lie.sequence;
        fleet->inject(liar, 0, lie);
        fleet->time.run(100ms);
        cr_assert(fleet->allSeeAll());
    }
    lie.daemons = 1'000'000'000;
    ++lie.sequence;
    fleet->inject(liar, 0, lie);
    fleet->time.run(1s);
    cr_assert(fleet->allSeeAll());
}

// Many forged senders must not fill the memory.
Test(usageExchange, manySenders)
{
    const auto fleet = busyFleet(12);
    UsageMessage message;
    message.incarnation = 77;
    message.interval = 2s;
    for (std::uint32_t sender = 0; sender < 5000; ++sender) {
        ++message.sequence;
        fleet->inject({0x0B000000 + sender, 7720}, 0, message);
    }
    fleet->time.run(100ms);
    cr_assert(fleet->exchange(0).counts().refused >= 4000);
    cr_assert(fleet->view(0)->daemons <= fleet->size() + 512);
}

// A total may only come from the present source: another one would bring an old or foreign view.
Test(usageExchange, totalOfAStranger)
{
    const auto fleet = busyFleet(12);
    UsageMessage total;
    total.scope = UsageScope::Total;
    total.incarnation = 77;
    total.sequence = 1;
    total.interval = 250ms;
    for (const std::size_t receiver : {std::size_t{0}, std::size_t{20}}) {
        fleet->inject(UsageFleet::addressOf(30), receiver, total);
        fleet->inject({0x0A0A0A0A, 7720}, receiver, total);
    }
    fleet->time.run(1ms);
    cr_assert(fleet->seesAll(0) && fleet->seesAll(20));
}

// All the traffic of the exchange has to leave room in the 2 KB/s of a daemon.
Test(usageExchange, bytesOfADaemon)
{
    struct Case
    {
        const char *name;
        double load;
        bool spills;
    };
    for (const Case &each :
         {Case{"calm", Calm, false}, Case{"busy", Busy, false}, Case{"spilling", Busy, true}}) {
        UsageFleet fleet{Domains, 105};
        fleet.loadAll(each.load / 2, 2);
        for (std::size_t index = 0; each.spills && index < fleet.size(); index += 10)
            fleet.spill(index, 1, 2);
        fleet.time.run(20s);
        std::vector<double> rates;
        for (std::size_t index = 0; index < fleet.size(); ++index)
            rates.push_back(-static_cast<double>(fleet.bytesOf(index)));
        fleet.time.run(20s);
        double sum = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            rates[index] = (rates[index] + static_cast<double>(fleet.bytesOf(index))) / 20;
            sum += rates[index];
        }
        std::sort(rates.begin(), rates.end());
        const double average = sum / static_cast<double>(rates.size());
        cr_log_info("%s: %.0f bytes/s on average, %.0f at the median, %.0f at most", each.name,
                    average, rates[rates.size() / 2], rates.back());
        cr_assert(each.load == Busy || rates.back() <= 2000);
        cr_assert(each.spills || average <= 2000);
    }
}
