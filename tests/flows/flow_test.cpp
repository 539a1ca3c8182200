#include "support/traffic_node_fixture.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

namespace {

constexpr FlowId Flow{42};

[[nodiscard]] std::vector<SendToTarget> open(TrafficNodeFixture &rig, FlowId flow = Flow,
                                             std::uint32_t attempt = 0)
{
    rig.fromCaller(FlowMessage{OpenFlow{flow, rig.service, {}, attempt}});
    return rig.all<SendToTarget>();
}

void answer(TrafficNodeFixture &rig, const SendToTarget &sent, FlowMessage body)
{
    const TargetDatagram &datagram = sent.datagram;
    rig.handle(FromTarget{
        sent.target,
        {datagram.caller, datagram.token, datagram.replyTo, LoadReport{}, std::move(body)}});
}

/// \return Token of a flow that was opened and accepted.
[[nodiscard]] FlowToken accepted(TrafficNodeFixture &rig, FlowId flow = Flow)
{
    const SendToTarget sent = open(rig, flow).at(0);
    answer(rig, sent, AcceptFlow{flow, sent.datagram.token});
    return rig.toCaller<AcceptFlow>().at(0).token;
}

[[nodiscard]] std::vector<SendToTarget> sendData(TrafficNodeFixture &rig, const FlowToken &token,
                                                 FlowId flow = Flow)
{
    rig.fromCaller(FlowMessage{FlowData{flow, token, "count"}});
    return rig.all<SendToTarget>();
}

} // namespace

// An open is sent twice before the accept arrives, and the accept arrives twice. There must be one
// token, so that the target has one flow. A daemon that lost the open still forwards the accept.
Test(flow, isPlacedOnceForAllCopies)
{
    TrafficNodeFixture rig;
    const SendToTarget first = open(rig).at(0);
    rig.publish();
    const SendToTarget second = open(rig).at(0);
    cr_assert(first.datagram.token == second.datagram.token);
    cr_assert(first.datagram.replyTo == TrafficNodeFixture::identity().address);
    cr_assert_eq(rig.node.counts().pendingOpens, 1);
    for (int copy = 0; copy < 2; ++copy) {
        answer(rig, first, AcceptFlow{Flow, first.datagram.token});
        cr_assert(rig.toCaller<AcceptFlow>().at(0).token == first.datagram.token);
    }
    cr_assert_eq(rig.node.counts().pendingOpens, 0);

    TrafficNodeFixture restarted;
    answer(restarted, first, AcceptFlow{Flow, first.datagram.token});
    cr_assert_eq(restarted.toCaller<AcceptFlow>().size(), 1);
}

// An open that was handed over by another daemon must be answered through that daemon, the entry.
// The answer carries the owner's load, so that no extra messages are needed for it.
Test(flow, isAnsweredThroughItsEntry)
{
    TrafficNodeFixture rig;
    Handoff ask{
        TrafficNodeFixture::Caller,        TrafficNodeFixture::OtherPeer, rig.target().id, 0, {},
        OpenFlow{Flow, rig.service, {}, 0}};
    rig.handle(FromPeer{TrafficNodeFixture::OtherPeer, {DaemonId{101}, Incarnation{1}, ask}});
    const SendToTarget sent = rig.all<SendToTarget>().at(0);
    answer(rig, sent, AcceptFlow{Flow, sent.datagram.token});
    const SendToPeer reply = rig.all<SendToPeer>().at(0);
    cr_assert(reply.peer == TrafficNodeFixture::OtherPeer);
    const auto &handoffReply = std::get<HandoffReply>(reply.message);
    cr_assert(handoffReply.hints.at(0).target == rig.target().id);

    TrafficNodeFixture entry;
    entry.handle(
        FromPeer{TrafficNodeFixture::OtherPeer, {DaemonId{100}, Incarnation{1}, handoffReply}});
    cr_assert_eq(entry.toCaller<AcceptFlow>().size(), 1);
}

// Planned changes happen during a flow: daemons are replaced, the configuration changes, the target
// drains or retires, keys are rotated once. Every daemon must keep forwarding the flow.
Test(flow, survivesPlannedChange)
{
    TrafficNodeFixture rig;
    const FlowToken token = accepted(rig);
    rig.target().state = TargetState::Draining;
    rig.publish();
    cr_assert_eq(sendData(rig, token).size(), 1);
    cr_assert(open(rig, FlowId{43}).empty());
    rig.target().state = TargetState::Retiring;
    rig.publish();
    rig.keys->rotate(KeyEpoch{2});
    cr_assert_eq(sendData(rig, token).size(), 1);
    cr_assert(rig.all<SendToTarget>().at(0).target == token.address);

    TrafficNodeFixture restarted;
    cr_assert_eq(sendData(restarted, token).size(), 1);
    // A daemon many revisions behind, which doesn't know the target yet.
    TrafficNode behind{TrafficNodeFixture::identity(), {}, rig.keys, 1};
    TrafficActions actions;
    behind.handle(FromCaller{TrafficNodeFixture::Caller, FlowMessage{FlowData{Flow, token, ""}}},
                  rig.now, actions);
    cr_assert(std::get<SendToTarget>(actions.at(0)).target == token.address);
}

// The target of a flow was cut, replaced by another machine or removed, and its address may serve
// another service by now. A daemon that knows this must reset the flow at once, in both directions.
Test(flow, isResetOnceItsTargetIsCut)
{
    for (const std::string change : {"cut", "replaced", "gone"}) {
        TrafficNodeFixture rig;
        const FlowToken token = accepted(rig);
        if (change == "cut")
            rig.target().state = TargetState::Cut;
        else if (change == "replaced")
            rig.target().generation = Generation{99};
        else
            rig.config.services[rig.service].targets.clear();
        rig.publish();
        cr_assert(sendData(rig, token).empty());
        cr_assert_eq(rig.toCaller<ResetFlow>().at(0).cause, ResetCause::TargetCut);
        rig.handle(
            FromTarget{token.address,
                       {TrafficNodeFixture::Caller, token, {}, {}, FlowData{Flow, token, "late"}}});
        cr_assert(rig.toCaller<FlowData>().empty());
        cr_assert_eq(rig.toCaller<ResetFlow>().size(), 1);
    }
}

// Tokens of another flow, service or target, or with a dropped key, must not be forwarded, and
// their sender gets a reset. A token with a key that this daemon doesn't have yet is dropped
// silently: a reset would end a flow that all other daemons forward.
Test(flow, isForwardedOnlyWithAValidToken)
{
    TrafficNodeFixture rig;
    const FlowToken token = accepted(rig);
    FlowToken forged = token;
    forged.service = serviceId("alexandria", "catalogue");
    cr_assert(sendData(rig, forged).empty());
    cr_assert_eq(rig.toCaller<ResetFlow>().at(0).cause, ResetCause::BadToken);
    cr_assert(sendData(rig, token, FlowId{43}).empty());

    KeyRing ahead{std::vector<std::byte>(32, std::byte{7}), KeyEpoch{4}};
    cr_assert(sendData(rig, ahead.sealFlow(Flow, token)).empty());
    cr_assert(rig.all<SendToCaller>().empty());
    rig.keys->rotate(KeyEpoch{4});
    cr_assert(sendData(rig, token).empty());
    cr_assert_eq(rig.toCaller<ResetFlow>().at(0).cause, ResetCause::BadToken);
}

// Keys are rotated twice during a flow that lasts for hours, so the key of its token is dropped. A
// keep-alive between the rotations must renew the token.
Test(flow, getsItsTokenRenewedBeforeTheKeyIsDropped)
{
    TrafficNodeFixture rig;
    const FlowToken token = accepted(rig);
    rig.fromCaller(FlowMessage{KeepAlive{Flow, token, 0}});
    cr_assert(rig.toCaller<AcceptFlow>().empty());
    rig.keys->rotate(KeyEpoch{2});
    rig.fromCaller(FlowMessage{KeepAlive{Flow, token, 0}});
    const FlowToken renewed = rig.toCaller<AcceptFlow>().at(0).token;
    cr_assert(rig.all<SendToTarget>().at(0).datagram.token == renewed);
    rig.keys->rotate(KeyEpoch{3});
    cr_assert_eq(sendData(rig, renewed).size(), 1);
    cr_assert(sendData(rig, token).empty());
}

// A caller pretends to be the target: with the token of its own flow it could make daemons send any
// data to any address. Only messages from the address in the token may be accepted.
Test(flow, acceptsTargetMessagesOnlyFromTheTokensAddress)
{
    TrafficNodeFixture rig;
    const FlowToken token = accepted(rig);
    const TargetDatagram datagram{
        Endpoint{0x0b000099, 1}, token, {}, {}, FlowData{Flow, token, "not yours"}};
    rig.handle(FromTarget{TrafficNodeFixture::Caller, datagram});
    cr_assert(rig.all<SendToCaller>().empty());
    rig.handle(FromTarget{token.address, datagram});
    cr_assert_eq(rig.all<SendToCaller>().size(), 1);
}

// The chosen target refuses the open, or reports that it serves another service by now. The open
// must go to another target; only if none is left is the caller refused, with a time to retry.
Test(flow, movesOnWhenATargetRefuses)
{
    TrafficNodeFixture rig{2};
    const SendToTarget first = open(rig).at(0);
    answer(rig, first, ResetFlow{Flow, ResetCause::WrongService, {}});
    const auto second = rig.all<SendToTarget>();
    cr_assert_eq(second.size(), 1);
    cr_assert(second.at(0).target != first.target);
    answer(rig, second.at(0), RefuseFlow{Flow, RefusalCause::TargetShed, {}});
    cr_assert(rig.all<SendToTarget>().empty());
    cr_assert(rig.toCaller<RefuseFlow>().at(0).retryAfter > 0s);
}

// Targets never answer some opens. The number of pending opens is bounded, and they expire.
Test(flow, boundsPendingOpens)
{
    TrafficSettings settings;
    settings.maxPendingOpens = 3;
    TrafficNodeFixture rig{1, 1, settings};
    for (std::uint64_t id = 0; id < 5; ++id)
        cr_assert_eq(open(rig, FlowId{id}).size(), id < 3 ? 1 : 0);
    cr_assert_eq(rig.toCaller<RefuseFlow>().at(0).cause, RefusalCause::TableFull);
    rig.pass(1s);
    cr_assert_eq(rig.node.counts().pendingOpens, 0);
    cr_assert_eq(open(rig, FlowId{9}).size(), 1);
}

// Keep-alives of one flow stay unanswered while the target answers others. The caller must be told
// to reopen and the target to close the old flow, but not after a single lost keep-alive.
Test(flow, isReopenedOnceItIsSilent)
{
    TrafficNodeFixture rig;
    const FlowToken token = accepted(rig);
    const std::uint32_t silentAfter = TrafficSettings{}.silentAfter;
    for (std::uint32_t unanswered = 0; unanswered < silentAfter; ++unanswered) {
        rig.fromCaller(FlowMessage{KeepAlive{Flow, token, unanswered}});
        cr_assert_eq(rig.all<SendToTarget>().size(), 1);
    }
    rig.fromCaller(FlowMessage{KeepAlive{Flow, token, silentAfter}});
    cr_assert_eq(rig.toCaller<ResetFlow>().at(0).cause, ResetCause::Silent);
    const auto told = rig.all<SendToTarget>();
    cr_assert(std::holds_alternative<CloseFlow>(told.at(0).datagram.body));
}

// While views change, two daemons each regard the other as the owner of a target. A handoff must
// not loop between them for ever: after two forwards it ends with an answer to the caller.
Test(flow, isNotForwardedInALoop)
{
    TrafficNodeFixture rig;
    rig.view.members.front().state = MemberState::Leaving;
    rig.view.members.push_back({DaemonId{101},
                                Incarnation{1},
                                TrafficNodeFixture::OtherPeer,
                                {},
                                "alx-raml",
                                MemberState::Alive,
                                Revision{10}});
    rig.handle(ViewChanged{std::make_shared<View>(rig.view)});
    for (const bool isFlow : {true, false}) {
        Handoff ask{TrafficNodeFixture::Caller,
                    TrafficNodeFixture::OtherPeer,
                    rig.target().id,
                    0,
                    {},
                    rig.ask(1)};
        if (isFlow)
            ask.body = OpenFlow{Flow, rig.service, {}, 0};
        int forwards = 0;
        for (; forwards < 10; ++forwards) {
            rig.handle(
                FromPeer{TrafficNodeFixture::OtherPeer, {DaemonId{101}, Incarnation{1}, ask}});
            const SendToPeer sent = rig.all<SendToPeer>().at(0);
            if (!std::holds_alternative<Handoff>(sent.message))
                break;
            ask = std::get<Handoff>(sent.message);
        }
        cr_assert_eq(forwards, TrafficSettings{}.maxHops);
    }
}

// A daemon that has just joined gets handoffs before it knows any target. It must return them to
// the entry, which knows more, with the target marked as declined; the entry refuses only what it
// can't place.
Test(flow, isReturnedByADaemonThatKnowsNoTarget)
{
    TrafficNodeFixture rig;
    TrafficNode joined{TrafficNodeFixture::identity(), {}, rig.keys, 1};
    Handoff ask{
        TrafficNodeFixture::Caller, TrafficNodeFixture::OtherPeer, TargetId{7}, 0, {}, rig.ask(1)};
    TrafficActions actions;
    joined.handle(FromPeer{TrafficNodeFixture::OtherPeer, {DaemonId{101}, Incarnation{1}, ask}},
                  rig.now, actions);
    const auto &sent = std::get<SendToPeer>(actions.at(0));
    const auto &returned = std::get<Handoff>(sent.message);
    cr_assert(sent.peer == TrafficNodeFixture::OtherPeer && returned.hops == 1);
    cr_assert(returned.hints.at(0).target == TargetId{7});
}

// A service has targets in another failure domain only, or all local ones are drained. Handoffs
// must go to a daemon over there, whose answer comes back through the entry.
Test(flow, isHandedToTheDomainThatHasTargets)
{
    TrafficNodeFixture rig{2};
    rig.target("t0").state = TargetState::Draining;
    rig.target("t1").domain = "alx-agami";
    rig.view.remote["alx-agami"].push_back({DaemonId{200},
                                            Incarnation{1},
                                            TrafficNodeFixture::OtherPeer,
                                            {},
                                            "alx-agami",
                                            MemberState::Alive,
                                            Revision{10}});
    rig.handle(ViewChanged{std::make_shared<View>(rig.view)});
    rig.publish();
    cr_assert(open(rig).empty());
    const auto sentFlow = rig.all<SendToPeer>().at(0);
    rig.fromCaller(RequestMessage{rig.ask(1)});
    const auto sentRequest = rig.all<SendToPeer>().at(0);
    for (const SendToPeer &sent : {sentFlow, sentRequest}) {
        cr_assert(sent.peer == TrafficNodeFixture::OtherPeer);
        const auto &ask = std::get<Handoff>(sent.message);
        cr_assert(ask.target == rig.target("t1").id);
        cr_assert(ask.entry == TrafficNodeFixture::identity().address);
    }
}

// An older configuration arrives after a newer one, as deliveries may be reordered.
Test(flow, configurationNeverReverts)
{
    TrafficNodeFixture rig;
    const auto older = std::make_shared<Config>(rig.config);
    const FlowToken token = accepted(rig);
    rig.target().state = TargetState::Cut;
    rig.publish();
    rig.handle(ConfigChanged{older});
    cr_assert(sendData(rig, token).empty());
}
