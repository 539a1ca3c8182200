#include "support/logged_cluster.h"

using namespace baobabtrail;
using namespace baobabtrail::test;

// The walk-throughs of docs/OPERATIONS.md: the cause of a caller's complaint can be found from the
// daemons' log lines alone.

namespace {

constexpr std::uint16_t Complaining = 7;

[[nodiscard]] Segment request(FlowLabel label, std::uint32_t sent, std::uint32_t received)
{
    return DirectFleet::data(Complaining, label, sent, 100, received);
}

void addTarget(LoggedCluster &system)
{
    system.cluster.store.put(DirectCluster::targetKey(1), "x ready");
    system.cluster.time.run(5s);
}

} // namespace

// All daemons are killed while a flow is open, and it continues through a daemon that has just
// started. The caller retransmits what it sent while no daemon was up: the explanation shows the
// daemon's start before the retransmission.
Test(explain, aFeedGoneSilent)
{
    LoggedCluster system{3};
    addTarget(system);
    const FlowLabel label = system.open(2, Complaining);
    (void)system.send(2, DirectFleet::data(Complaining, label, 0, 0, 1));
    for (std::size_t index = 0; index < 3; ++index)
        system.cluster.kill(index);
    system.cluster.time.run(1s);
    for (std::size_t index = 0; index < 3; ++index)
        system.cluster.start(index);
    system.cluster.time.run(500ms);
    (void)system.send(2, request(label, 0, 1));
    system.cluster.time.run(300ms);
    (void)system.send(2, request(label, 0, 1));
    expectInOrder(system.explanation(Complaining),
                  {"daemon: start", "config: routes_in_force", "daemon: ready", "flows: repeated",
                   "cause: the caller sent again: its target acknowledged nothing"});
}

// During a store outage, a caller opens a flow to an address that no daemon knows, which may belong
// to a new route. It gets no answer. The log gives the age of the daemon's view and the lost
// dependency.
Test(explain, anOpeningThatNobodyAnswers)
{
    LoggedCluster system{3};
    addTarget(system);
    system.cluster.store.down = true;
    system.cluster.time.run(5s);
    Segment opening = DirectFleet::opening(Complaining);
    opening.flow.service.port += 1;
    (void)system.send(2, opening);
    system.cluster.time.run(200ms);
    opening.retransmits = 1;
    (void)system.send(2, opening);
    const std::string explanation = system.explanation(Complaining);
    expectInOrder(explanation, {"flows: stale_view", "copy=0", "fresh=false",
                                "view_age_ms=", "flows: stale_view", "copy=1",
                                "cause: the daemon's view was out of date, so it said nothing"});
    expectInOrder(system.text(), {"\"event\":\"store_lost\"", "\"why\":"});
}

// A target that usually answers in 35 ms takes 170 ms once. The explanation shows that it looked
// healthy when it was chosen, and how late its answer was.
Test(explain, aRequestThatCameLate)
{
    LoggedCluster system{3};
    addTarget(system);
    const FlowLabel label = system.open(2, Complaining);
    (void)system.send(2, DirectFleet::data(Complaining, label, 0, 0, 1));
    std::uint32_t answered = 1;
    for (std::uint32_t asked = 0; asked < 600; asked += 100) {
        (void)system.send(2, request(label, asked, answered));
        system.cluster.time.run(asked == 500 ? 170ms : 35ms);
        (void)system.send(2, DirectFleet::data(Complaining, label, asked + 100, 0, ++answered));
    }
    expectInOrder(system.explanation(Complaining),
                  {"flows: placed", "in_flight=0", "flows: slow_answer", "took_ms=170.0",
                   "usual_ms=35.0", "cause: its target answered late"});
}

// Answers take 150 ms on a route with a target latency of 200 ms: the target counts as saturated,
// and the next request waits for the one before it. The explanation says for which target, how
// long, and on which measurements.
Test(explain, aRequestThatWaitedForASaturatedTarget)
{
    LoggedCluster system{3};
    system.promise(200ms, 1200ms);
    addTarget(system);
    std::vector<FlowLabel> labels;
    for (std::uint16_t caller = Complaining; caller < Complaining + 40; ++caller) {
        labels.push_back(system.open(2, caller));
        (void)system.send(2, DirectFleet::data(caller, labels.back(), 0, 0, 1));
    }
    system.cluster.time.run(100ms);
    const auto ask = [&](std::uint16_t number) {
        return system.send(2, DirectFleet::data(Complaining + number, labels[number], 0, 100, 1));
    };
    std::uint16_t number = 1;
    while (system.text().find("\"event\":\"saturated\"") == std::string::npos && number < 38) {
        (void)ask(number);
        system.cluster.time.run(150ms);
        (void)system.send(2, DirectFleet::data(Complaining + number, labels[number], 100, 0, 101));
        ++number;
    }
    (void)ask(number);
    (void)ask(0);
    system.cluster.time.run(150ms);
    (void)system.send(2, DirectFleet::data(Complaining + number, labels[number], 100, 0, 101));
    expectInOrder(system.explanation(Complaining),
                  {"targets: saturated", "window=", "usual_ms=", "flows: held", "held=1",
                   "flows: released", "held_ms=150.0",
                   "cause: its target was saturated; the request waited before it went on"});
}

// At overload a daemon writes a bounded number of log lines of each kind, and the next line of the
// kind says how many were left out. Refusals must not be suppressed by the limit on placements.
Test(explain, whatIsLeftOutIsCountedAndSaid)
{
    LoggedCluster system{3, 20};
    addTarget(system);
    for (std::uint16_t caller = 100; caller < 400; ++caller)
        (void)system.open(2, caller);
    Segment refused = DirectFleet::opening(Complaining);
    refused.flow.service.port += 1;
    (void)system.send(2, refused);
    cr_assert_eq(system.leftOut(2), 280);
    expectInOrder(system.explanation(Complaining), {"flows: no_route", "cause: no service had"});
    system.cluster.time.run(1s);
    (void)system.open(2, 500);
    expectInOrder(system.text(), {"\"event\":\"no_route\"", "\"left_out\":280"});
}

// A daemon that is cut off from its peers keeps old routes while the others have new ones. Its log
// names each unanswered query: the peer, the waiting time and the bytes received.
Test(explain, aChangeThatIsNotInForce)
{
    LoggedCluster system{6};
    addTarget(system);
    system.cluster.cutFromPeers.insert(4);
    system.cluster.time.run(3s);
    expectInOrder(system.text(),
                  {"edge-4 ", "\"event\":\"peer_unanswered\",\"source\":", "\"after\":",
                   "\"wait_ms\":1600", "\"took_ms\":2000", "\"bytes\":0", "\"why\":\"no answer\""});
}

// The same daemon keeps trying other peers. Its log reports the search and the number of tries in
// a few lines: with a line for each try, hundreds of searching daemons would flood the logs.
Test(explain, aSearchThatGoesOnHasFewLines)
{
    LoggedCluster system{6};
    addTarget(system);
    system.cluster.cutFromPeers.insert(4);
    system.cluster.time.run(20s);
    system.cluster.cutFromPeers.clear();
    system.cluster.time.run(5s);
    expectInOrder(system.text(), {"edge-4 ", "\"event\":\"source_search\",\"tries\":",
                                  "\"why\":\"no answer\"", "\"event\":\"source_found\""});
    std::size_t lines = 0;
    const std::string text = system.text();
    for (std::size_t at = text.find("source_search"); at != std::string::npos;
         at = text.find("source_search", at + 1))
        ++lines;
    cr_assert_leq(lines, 6, "%zu lines", lines);
}
