#include "support/traffic_node_fixture.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A target is drained while one request runs on it and one is queued. The running one is answered;
// the queued one must not start there long after the drain began, and is refused within 3 seconds.
Test(requestChange, emptiesTheQueueOfADrainingTarget)
{
    TrafficNodeFixture fixture;
    const auto running = fixture.start(fixture.ask(1, 30s));
    cr_assert(!fixture.start(fixture.ask(2, 30s)));
    fixture.target().state = TargetState::Draining;
    fixture.publish();
    cr_assert(!fixture.reserve(fixture.ask(3)));
    fixture.pass(3s);
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).request.low, 2);
    fixture.done(*running);
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    cr_assert(fixture.onLinks<Dispatch>().empty());
}

// Two targets drain; one becomes active again, and the queued request moves there instead of being
// refused.
Test(requestChange, movesTheQueueToAnotherTarget)
{
    TrafficNodeFixture fixture{2};
    std::vector<std::pair<TargetId, Dispatch>> running;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        if (const auto dispatch = fixture.start(fixture.ask(id, 30s)))
            running.push_back(*dispatch);
    }
    cr_assert_eq(running.size(), 2);
    fixture.target("t0").state = TargetState::Draining;
    fixture.target("t1").state = TargetState::Draining;
    fixture.publish();
    const auto &other = running.front().first == fixture.target("t0").id ? "t0" : "t1";
    fixture.pass(1s);
    fixture.target(other).state = TargetState::Active;
    fixture.publish();
    fixture.done(running.front());
    fixture.pass(3s);
    cr_assert(fixture.toCaller<NotRun>().empty());
    cr_assert_eq(fixture.node.counts().runningAttempts, 2);
}

// A target moves to another owner while one request runs on it and another one is reserved. Both
// are finished by this daemon, and only then the link is closed.
Test(requestChange, finishesWorkOnATargetThatItNoLongerOwns)
{
    TrafficNodeFixture fixture;
    const auto running = fixture.start(fixture.ask(1, 30s));
    const auto reserved = fixture.reserve(fixture.ask(2, 30s));
    fixture.view.members.front().state = MemberState::Leaving;
    fixture.handle(ViewChanged{std::make_shared<View>(fixture.view)});
    cr_assert(fixture.all<CloseLink>().empty());
    fixture.send(2, *reserved);
    fixture.done(*running);
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    const auto next = fixture.onLinks<Dispatch>();
    cr_assert_eq(next.size(), 1);
    cr_assert(fixture.all<CloseLink>().empty());
    fixture.done(next.front());
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    cr_assert_eq(fixture.all<CloseLink>().size(), 1);
}

// A target moves to another owner, which fills its slots before this daemon knows of the move. A
// queued request has 150 ms left and a run takes 100 ms: behind the new owner's work it would miss
// its deadline while it runs and end as unknown. It must be refused as not run at once.
Test(requestChange, startsNothingBehindTheNewOwnersWorkThatCannotEndInTime)
{
    for (const std::uint32_t othersQueued : {0U, 1U}) {
        TrafficNodeFixture fixture;
        const auto running = fixture.start(fixture.ask(1, 30s));
        const auto reserved = fixture.reserve(fixture.ask(2, 250ms));
        fixture.send(2, *reserved);
        fixture.pass(100ms);
        fixture.fromLink(running->first,
                         AttemptDone{running->second.attempt, {0, othersQueued, 0}, "done"});
        const bool starts = othersQueued == 0;
        cr_assert_eq(fixture.onLinks<Dispatch>().size(), starts ? 1 : 0);
        cr_assert_eq(fixture.toCaller<NotRun>().size(), starts ? 0 : 1);
    }
}

// An operator cuts a target: its link closes at once, the running request ends as unknown, the
// queued one as not run.
Test(requestChange, cutEndsEverythingAtOnce)
{
    TrafficNodeFixture fixture;
    cr_assert(fixture.start(fixture.ask(1, 30s)).has_value());
    cr_assert(!fixture.start(fixture.ask(2, 30s)));
    fixture.target().state = TargetState::Cut;
    fixture.publish();
    cr_assert_eq(fixture.all<CloseLink>().size(), 1);
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).request.low, 1);
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).request.low, 2);
}

// The address of a target serves another service already, before the new configuration arrives. The
// target's hello reply names that service: from then on it must get no work, neither new nor
// queued.
Test(requestChange, sendsNothingToATargetThatServesAnotherService)
{
    TrafficNodeFixture fixture{1, 2};
    const TargetId id = fixture.target().id;
    const ServiceId other = serviceId("alexandria", "catalogue");
    cr_assert(fixture.start(fixture.ask(1)).has_value());
    const auto token = fixture.reserve(fixture.ask(2));
    fixture.fromLink(id, LinkHelloReply{other, {}});
    fixture.send(2, *token);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    cr_assert(!fixture.reserve(fixture.ask(3)));

    // Also while it drains, when queued requests may still start there.
    TrafficNodeFixture draining;
    const auto running = draining.start(draining.ask(1));
    cr_assert(!draining.start(draining.ask(2)));
    draining.target().state = TargetState::Draining;
    draining.publish();
    draining.fromLink(id, LinkHelloReply{other, {}});
    draining.done(*running);
    cr_assert(draining.onLinks<Dispatch>().empty());

    TrafficNodeFixture fresh{1, 2, {}, false};
    fresh.handle(LinkOpened{fresh.target().id, Generation{5}});
    cr_assert(!fresh.reserve(fresh.ask(1)));
    fresh.fromLink(fresh.target().id, LinkHelloReply{other, {}});
    cr_assert(!fresh.reserve(fresh.ask(1)));
}

// A target that mixes up its connections answers an attempt of another target. That answer, and one
// of an earlier generation, must not reach the caller.
Test(requestChange, acceptsAnAnswerOnlyFromTheTargetOfTheAttempt)
{
    TrafficNodeFixture fixture{2};
    const auto dispatch = fixture.start(fixture.ask(1));
    const bool isFirst = dispatch->first == fixture.target("t0").id;
    const TargetId other = fixture.target(isFirst ? "t1" : "t0").id;
    fixture.done({other, dispatch->second});
    cr_assert(fixture.toCaller<Answer>().empty());
    fixture.handle(FromLink{dispatch->first, Generation{4},
                            AttemptDone{dispatch->second.attempt, {}, "of an earlier generation"}});
    cr_assert(fixture.toCaller<Answer>().empty());
    fixture.done(*dispatch);
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
}

// A graceful stop while one request runs, one is queued and one is reserved. All three are
// answered, new flows and requests are refused, and the stop completes only after a time in which
// the last answer can still be retransmitted.
Test(requestChange, stopsOnceAllIsAnswered)
{
    TrafficNodeFixture fixture;
    auto running = fixture.start(fixture.ask(1, 30s));
    cr_assert(!fixture.start(fixture.ask(2, 30s)));
    const auto third = fixture.reserve(fixture.ask(3, 30s));
    fixture.handle(StopRequested{});
    fixture.fromCaller(FlowMessage{OpenFlow{FlowId{1}, fixture.service, {}, 0}});
    cr_assert_eq(fixture.toCaller<RefuseFlow>().at(0).cause, RefusalCause::Stopping);
    cr_assert(!fixture.reserve(fixture.ask(4)));
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).cause, RefusalCause::Stopping);
    fixture.send(3, *third);
    fixture.pass(3s);
    for (int i = 0; i < 3; ++i) {
        cr_assert(running.has_value() && fixture.all<Stopped>().empty());
        fixture.done(*running);
        cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
        const auto next = fixture.onLinks<Dispatch>();
        running = next.empty() ? std::nullopt : std::optional{next.front()};
    }
    cr_assert(fixture.all<Stopped>().empty());
    fixture.send(3, *third);
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    fixture.pass(2s);
    cr_assert_eq(fixture.all<Stopped>().size(), 1);
    fixture.pass(5s);
    cr_assert(fixture.all<Stopped>().empty());

    TrafficNodeFixture idle;
    idle.handle(StopRequested{});
    cr_assert_eq(idle.all<Stopped>().size(), 1);
}

// A target hangs: its connection stays open, but hellos get no reply. After a few the link is
// closed and reopened, and its running request ends as unknown then, not only at its deadline.
Test(requestChange, closesAnUnresponsiveLink)
{
    TrafficNodeFixture fixture;
    cr_assert(fixture.start(fixture.ask(1, 60s)).has_value());
    fixture.hellosAnswered = false;
    fixture.pass(9s);
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::LinkBroken);
    cr_assert_eq(fixture.all<CloseLink>().size(), 1);
    cr_assert(!fixture.all<OpenLink>().empty());
}

// The removal of a retiring target is proposed only once fresh load reports have shown it idle for
// some time and nothing is in progress here. Repeated proposals use one id, and end with the
// removal.
Test(requestChange, proposesTheRemovalOfAnEmptyTarget)
{
    TrafficNodeFixture fixture;
    const auto passWithReports = [&](Duration wait, const LoadReport &load) {
        fixture.load = load;
        fixture.pass(wait);
        return fixture.all<ProposeCommand>();
    };
    cr_assert(passWithReports(20s, {}).empty());
    const auto running = fixture.start(fixture.ask(1, 60s));
    fixture.target().state = TargetState::Retiring;
    fixture.publish();
    cr_assert(passWithReports(20s, {}).empty());
    fixture.done(*running);
    cr_assert(passWithReports(20s, {0, 0, 1}).empty());
    cr_assert(passWithReports(4s, {}).empty());
    const auto proposals = passWithReports(60s, {});
    cr_assert(proposals.size() >= 2 && proposals.size() <= 8, "%zu", proposals.size());
    cr_assert(proposals.front().changeId == proposals.back().changeId);
    const auto &remove = std::get<RemoveTarget>(proposals.front().command);
    cr_assert(remove.target.target == "t0" && remove.generation == Generation{5});
    fixture.config.services[fixture.service].targets.clear();
    fixture.publish();
    cr_assert(passWithReports(60s, {}).empty());
}

// Two targets of one owner run a request each, and a third request is queued at one of them. The
// target that is free first must run it at once, or the request would wait beside a free slot. A
// draining target must not steal from the other one's queue.
Test(requestChange, anIdleTargetStealsFromItsOwnersOtherQueues)
{
    for (const std::size_t freed : {0, 1}) {
        for (const bool drains : {false, true}) {
            TrafficNodeFixture fixture{2};
            std::vector<std::pair<TargetId, Dispatch>> running;
            for (std::uint64_t id = 1; running.size() < 2; ++id)
                running.push_back(*fixture.start(fixture.ask(id, 30s)));
            cr_assert(running[0].first != running[1].first);
            cr_assert(!fixture.start(fixture.ask(3, 30s)));
            if (drains) {
                fixture.config.services[fixture.service].targets[running[freed].first].state
                    = TargetState::Draining;
                fixture.publish();
                fixture.pass(3s); // Empties its queue.
            }
            fixture.done(running[freed]);
            const auto next = fixture.onLinks<Dispatch>();
            cr_expect_eq(next.size(), drains ? 0U : 1U);
            if (!next.empty())
                cr_expect(next[0].first == running[freed].first && next[0].second.request.low == 3);
        }
    }
}

// The daemon of a replaced VM has no configuration yet, but the fabric already sends it datagrams.
// A refusal would end flows and requests that every other daemon could serve: it must not answer,
// so that the caller retries elsewhere. Once it is configured, it refuses an unknown service.
Test(requestChange, aDaemonWithoutConfigurationAnswersNothing)
{
    for (const bool configured : {false, true}) {
        TrafficNode node{
            TrafficNodeFixture::identity(),
            {},
            std::make_shared<KeyRing>(std::vector<std::byte>(32, std::byte{7}), KeyEpoch{1}),
            1};
        TrafficActions actions;
        auto config = std::make_shared<Config>();
        config->revision = Revision{configured ? 3U : 0U};
        node.handle(ConfigChanged{config}, TimePoint{1h}, actions);
        actions.clear();
        const ServiceId service = serviceId("alexandria", "lending");
        const OpenFlow open{FlowId{1}, service, {}, 0};
        Reserve reserve;
        reserve.request = RequestId{1, 1};
        reserve.service = service;
        reserve.timeLeft = 1s;
        node.handle(FromCaller{TrafficNodeFixture::Caller, FlowMessage{open}}, TimePoint{1h},
                    actions);
        node.handle(FromCaller{TrafficNodeFixture::Caller, RequestMessage{reserve}}, TimePoint{1h},
                    actions);
        const auto answers = std::count_if(actions.begin(), actions.end(), [](const auto &action) {
            return std::holds_alternative<SendToCaller>(action);
        });
        cr_expect_eq(answers, configured ? 2 : 0);
    }
}
