#include "support/node_rig.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A swap request and its reservation are sent several times, as the network or the caller repeats
// them. The target must see it once, and every copy is answered from what the owner keeps; after
// a bounded number of resends the owner stays silent, so that it can't be used as an amplifier.
Test(requestOwner, dispatchesOnceForAllCopiesAndKeepsTheAnswer)
{
    NodeRig rig;
    const auto token = rig.reserve(rig.ask(1));
    cr_assert(token.has_value());
    rig.pass(5ms);
    cr_assert(*rig.reserve(rig.ask(1)) == *token);
    rig.send(1, *token);
    const auto dispatches = rig.onLinks<Dispatch>();
    cr_assert_eq(dispatches.size(), 1);
    rig.send(1, *token);
    cr_assert(rig.onLinks<Dispatch>().empty());
    rig.done(dispatches.front());
    cr_assert_eq(rig.toCaller<Answer>().size(), 1);
    rig.done(dispatches.front());
    cr_assert(rig.toCaller<Answer>().empty());
    std::size_t resent = 0;
    for (int copy = 0; copy < 20; ++copy) {
        rig.send(1, *token);
        resent += rig.toCaller<Answer>().size();
        cr_assert(rig.onLinks<Dispatch>().empty());
    }
    cr_assert_eq(resent, TrafficSettings{}.maxAnswerResends);
    rig.pass(4s);
    rig.send(1, *token);
    cr_assert_eq(rig.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::Expired);
    cr_assert_eq(rig.node.counts().requests, 0);
}

// A copy of a request stays in the network until its record is gone and its id was reserved anew.
// It may have run under the old reservation: it starts nothing, the new reservation is untouched.
Test(requestOwner, startsNothingUnderAnEarlierReservation)
{
    NodeRig rig;
    const auto earlier = rig.reserve(rig.ask(1));
    rig.pass(4s);
    const auto later = rig.reserve(rig.ask(1));
    cr_assert(later && *later != *earlier);
    rig.send(1, *earlier);
    cr_assert(rig.onLinks<Dispatch>().empty());
    cr_assert_eq(rig.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::Expired);
    rig.send(1, *later);
    cr_assert_eq(rig.onLinks<Dispatch>().size(), 1);
}

// An answer longer than a datagram comes in parts that make up the whole, in order.
Test(requestOwner, splitsLongAnswers)
{
    NodeRig rig;
    const auto dispatch = rig.start(rig.ask(1));
    std::string payload;
    for (int i = 0; i < 700; ++i)
        payload += std::to_string(i);
    rig.fromLink(dispatch->first, AttemptDone{dispatch->second.attempt, {}, payload});
    std::string joined;
    for (const Answer &part : rig.toCaller<Answer>()) {
        cr_assert(part.payload.size() <= TrafficSettings{}.answerPartBytes);
        cr_assert_eq(part.parts, 2);
        joined += part.payload;
    }
    cr_assert(joined == payload);
}

// The owner's VM is paused while a swap waits for a slot; it wakes after the deadline and finds the
// finished attempt of another request first. The caller has given the swap up: nothing may start,
// and the refusal leaves before anything else is handled.
Test(requestOwner, startsNothingLateAfterAPause)
{
    NodeRig rig;
    const auto running = rig.start(rig.ask(1, 10s));
    cr_assert(running && !rig.start(rig.ask(2, 2s)));
    rig.now += 3s;
    rig.done(*running);
    cr_assert(rig.onLinks<Dispatch>().empty());
    cr_assert_eq(rig.toCaller<NotRun>().at(0).cause, RefusalCause::DeadlinePassed);
}

// The deadline passes while the target works. The caller hears "unknown" at that moment, the target
// is told to stop, and what it still answers reaches nobody.
Test(requestOwner, endsARunningRequestAtItsDeadline)
{
    NodeRig rig;
    const auto running = rig.start(rig.ask(1, 2s));
    rig.pass(2s);
    cr_assert_eq(rig.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::DeadlinePassed);
    cr_assert_eq(rig.onLinks<CancelAttempt>().size(), 1);
    rig.done(*running);
    cr_assert(rig.toCaller<Answer>().empty());
    cr_assert_eq(rig.node.counts().runningAttempts, 0);
}

// A request that would be dispatched with too little time left to run ends as "not run": as
// "unknown" its caller could not ask again. The time that runs take is learnt, and unlearnt.
Test(requestOwner, startsNothingThatCannotEndInTime)
{
    NodeRig rig;
    for (std::uint64_t id = 100; id < 120; ++id) {
        const auto dispatch = rig.start(rig.ask(id, 10s));
        rig.pass(1s);
        rig.done(*dispatch);
    }
    const auto running = rig.start(rig.ask(1, 10s));
    const auto token = rig.reserve(rig.ask(2, 1300ms));
    cr_assert(token.has_value());
    rig.send(2, *token);
    rig.pass(1s);
    rig.done(*running);
    cr_assert(rig.onLinks<Dispatch>().empty());
    cr_assert_eq(rig.toCaller<NotRun>().size(), 1);

    // The target is fast again; requests with little time get through to it before long.
    int refused = 0;
    while (refused < 100 && !rig.start(rig.ask(200 + refused, 300ms)))
        ++refused;
    cr_assert(refused < 100);
}

// The connection to the target breaks while a request runs: nobody knows whether it ran. A swap is
// not sent again. An idempotent upload is, but once a second target refuses it "not run" can't be
// said any more, for the first one may have run it.
Test(requestOwner, neverRepeatsWhatMayHaveRun)
{
    NodeRig swap{2};
    const auto dispatch = swap.start(swap.ask(1));
    swap.handle(LinkClosed{dispatch->first, Generation{5}});
    cr_assert(swap.onLinks<Dispatch>().empty());
    cr_assert_eq(swap.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::LinkBroken);

    NodeRig upload{2};
    Reserve ask = upload.ask(1);
    ask.idempotent = true;
    const auto first = upload.start(ask);
    upload.handle(LinkClosed{first->first, Generation{5}});
    const auto again = upload.onLinks<Dispatch>();
    cr_assert_eq(again.size(), 1);
    cr_assert(again.front().first != first->first);
    cr_assert(again.front().second.attempt != first->second.attempt);
    upload.done({first->first, first->second});
    cr_assert(upload.toCaller<Answer>().empty());
    upload.shed(again.front());
    upload.shed(upload.onLinks<Dispatch>().at(0));
    cr_assert(upload.toCaller<NotRun>().empty());
    cr_assert_eq(upload.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::LinkBroken);
}

// Both targets shed whatever they get. Each shed request may go to the other one, but all retries
// together stay within the workspace's budget: ten saved up and a tenth of the first attempts.
Test(requestOwner, keepsRetriesWithinTheBudget)
{
    NodeRig rig{2, 4};
    constexpr std::uint64_t Requests = 200;
    std::size_t dispatches = 0;
    std::size_t refused = 0;
    for (std::uint64_t id = 0; id < Requests; ++id) {
        auto dispatch = rig.start(rig.ask(id, 60s));
        while (dispatch) {
            ++dispatches;
            rig.shed(*dispatch);
            refused += rig.toCaller<NotRun>().size();
            const auto again = rig.onLinks<Dispatch>();
            dispatch = again.empty() ? std::nullopt : std::optional{again.front()};
        }
        rig.pass(200ms);
    }
    cr_assert(dispatches > Requests, "%zu", dispatches);
    cr_assert(dispatches <= Requests + 10 + Requests / 10 + 1, "%zu", dispatches);
    cr_assert_eq(refused, Requests);
}

// Tokens that this owner must not act on: of its earlier life, of another daemon, forged, or of a
// record that is gone. The first three run nothing; the caller is told what is known at once.
Test(requestOwner, actsOnlyOnItsOwnReservations)
{
    NodeRig rig;
    const RequestId request{1, 1};
    const auto token = rig.reserve(rig.ask(1));
    ReservationToken earlier = *token;
    earlier.incarnation = Incarnation{4};
    rig.send(1, rig.keys->sealReservation(request, earlier));
    cr_assert_eq(rig.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::OwnerRestarted);
    cr_assert(rig.onLinks<Dispatch>().empty());

    ReservationToken other = *token;
    other.owner = DaemonId{101};
    other.ownerAddress = NodeRig::OtherPeer;
    other = rig.keys->sealReservation(request, other);
    rig.send(1, other);
    cr_assert_eq(rig.all<SendToPeer>().at(0).peer, NodeRig::OtherPeer);
    rig.handle(FromPeer{NodeRig::OtherPeer,
                        {DaemonId{101}, Incarnation{1},
                         OwnerRequest{NodeRig::Caller, RequestData{request, other, ""}}}});
    cr_assert_eq(rig.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::OwnerGone);

    // The other daemon joins, is suspected, leaves the view as the dead do, and is started anew.
    Member member{DaemonId{101}, Incarnation{5},     NodeRig::OtherPeer, {},
                  "alx-raml",    MemberState::Alive, Revision{10}};
    const auto handedOver = [&](std::vector<Member> others) {
        View view = rig.view;
        view.members.insert(view.members.end(), others.begin(), others.end());
        rig.handle(ViewChanged{std::make_shared<View>(view)});
        rig.send(1, other);
        const auto unknown = rig.toCaller<OutcomeUnknown>();
        cr_assert_eq(unknown.size() + rig.all<SendToPeer>().size(), 1);
        cr_assert(unknown.empty() || unknown.at(0).cause == UnknownCause::OwnerGone);
        return unknown.empty();
    };
    cr_assert(handedOver({member}));
    member.state = MemberState::Suspect;
    cr_assert(handedOver({member}));
    cr_assert(!handedOver({}));
    member.incarnation = Incarnation{6};
    cr_assert(!handedOver({member}));
    member.incarnation = Incarnation{5};
    member.state = MemberState::Dead;
    cr_assert(!handedOver({member}));
    rig.handle(ViewChanged{std::make_shared<View>(rig.view)});

    ReservationToken forged = *token;
    forged.deadline += 1h;
    rig.send(1, forged);
    cr_assert(rig.all<SendToCaller>().empty() && rig.onLinks<Dispatch>().empty());
    rig.send(1, *token);
    cr_assert_eq(rig.onLinks<Dispatch>().size(), 1);
}

// A caller whose Reserve was repeated holds two owners' reservations and keeps to the first. This
// owner's lapses: its place is freed, and nothing is said, for the caller would take it as the end
// of the request that runs elsewhere. If the request comes after all, it is refused.
Test(requestOwner, lapsesWithoutAWord)
{
    NodeRig rig;
    const auto token = rig.reserve(rig.ask(1, 10s));
    rig.pass(1100ms);
    cr_assert(rig.all<SendToCaller>().empty());
    cr_assert(rig.start(rig.ask(2)).has_value());
    rig.send(1, *token);
    cr_assert(rig.onLinks<Dispatch>().empty());
    const NotRun refusal = rig.toCaller<NotRun>().at(0);
    cr_assert(refusal.owner == NodeRig::identity().daemon);
}

// A cancelled request that waits is refused at once. One that runs is the target's to judge: its
// word that it did not run, or its answer, is what the caller gets.
Test(requestOwner, cancels)
{
    NodeRig rig;
    const auto cancel = [&](std::uint64_t id, const ReservationToken &token) {
        rig.fromCaller(RequestMessage{CancelRequest{RequestId{1, id}, token}});
    };
    const auto first = rig.reserve(rig.ask(1));
    rig.send(1, *first);
    const auto running = rig.onLinks<Dispatch>().at(0);
    const auto second = rig.reserve(rig.ask(2));
    rig.send(2, *second);
    cancel(2, *second);
    cr_assert_eq(rig.toCaller<NotRun>().at(0).cause, RefusalCause::Cancelled);
    const auto third = rig.reserve(rig.ask(3));
    cancel(3, *third);
    cr_assert_eq(rig.toCaller<NotRun>().size(), 1);

    cancel(1, *first);
    cr_assert_eq(rig.onLinks<CancelAttempt>().size(), 1);
    cr_assert(rig.all<SendToCaller>().empty());
    rig.shed(running);
    cr_assert_eq(rig.toCaller<NotRun>().at(0).cause, RefusalCause::Cancelled);
    cr_assert(rig.onLinks<Dispatch>().empty());
}

// A pass check arrives while uploads fill the queue: the newest upload gives way and is refused in
// the same moment, before its deadline. What runs is never given up for it.
Test(requestOwner, refusesTheDisplacedAtOnce)
{
    NodeRig rig;
    std::vector<NotRun> refusals;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        Reserve upload = rig.ask(id);
        upload.requestClass = RequestClass::Bulk;
        rig.start(upload);
    }
    Reserve check = rig.ask(9);
    check.requestClass = RequestClass::Urgent;
    cr_assert(rig.reserve(check).has_value());
    cr_assert_eq(rig.toCaller<NotRun>().at(0).request.low, 5);
    cr_assert(rig.toCaller<NotRun>().at(0).comeBackAfter > 0s);
    cr_assert_eq(rig.node.counts().runningAttempts, 1);
}

// The table is full: new work is refused with a time to come back, all that is there goes on.
Test(requestOwner, refusesAtItsBounds)
{
    TrafficSettings settings;
    settings.maxRequests = 2;
    NodeRig rig{1, 8, settings};
    const auto first = rig.start(rig.ask(1));
    const auto second = rig.start(rig.ask(2));
    cr_assert(!rig.reserve(rig.ask(3)));
    cr_assert_eq(rig.toCaller<NotRun>().at(0).cause, RefusalCause::TableFull);
    cr_assert(rig.toCaller<NotRun>().at(0).owner.isNull());
    rig.done(*first);
    rig.done(*second);
    cr_assert_eq(rig.toCaller<Answer>().size(), 1);
    rig.pass(4s);
    cr_assert(rig.reserve(rig.ask(3)).has_value());

    settings = {};
    settings.maxAnswerBytes = 4;
    NodeRig answers{1, 8, settings};
    answers.done(*answers.start(answers.ask(1)));
    cr_assert(!answers.reserve(answers.ask(2)));
}
