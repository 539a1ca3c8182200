#include "support/traffic_node_fixture.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::fake;

// A non-idempotent request and its Reserve arrive several times, duplicated or retransmitted. The
// target must get the request once, and copies get the retained answer, up to a bounded number of
// resends, so that the owner can't be used as an amplifier.
Test(requestOwner, dispatchesOnceForAllCopiesAndKeepsTheAnswer)
{
    TrafficNodeFixture fixture;
    const auto token = fixture.reserve(fixture.ask(1));
    cr_assert(token.has_value());
    fixture.pass(5ms);
    cr_assert(*fixture.reserve(fixture.ask(1)) == *token);
    fixture.send(1, *token);
    const auto dispatches = fixture.onLinks<Dispatch>();
    cr_assert_eq(dispatches.size(), 1);
    fixture.send(1, *token);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    fixture.done(dispatches.front());
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    fixture.done(dispatches.front());
    cr_assert(fixture.toCaller<Answer>().empty());
    std::size_t resent = 0;
    for (int copy = 0; copy < 20; ++copy) {
        fixture.send(1, *token);
        resent += fixture.toCaller<Answer>().size();
        cr_assert(fixture.onLinks<Dispatch>().empty());
    }
    cr_assert_eq(resent, TrafficSettings{}.maxAnswerResends);
    fixture.pass(4s);
    fixture.send(1, *token);
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::Expired);
    cr_assert_eq(fixture.node.counts().requests, 0);
}

// A delayed copy of a request arrives after its record has expired and its id was reserved again.
// It may have run under the earlier reservation, and must not start under the later one.
Test(requestOwner, startsNothingUnderAnEarlierReservation)
{
    TrafficNodeFixture fixture;
    const auto earlier = fixture.reserve(fixture.ask(1));
    fixture.pass(4s);
    const auto later = fixture.reserve(fixture.ask(1));
    cr_assert(later && *later != *earlier);
    fixture.send(1, *earlier);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::Expired);
    fixture.send(1, *later);
    cr_assert_eq(fixture.onLinks<Dispatch>().size(), 1);
}

// An answer longer than a datagram is sent in parts, in order.
Test(requestOwner, splitsLongAnswers)
{
    TrafficNodeFixture fixture;
    const auto dispatch = fixture.start(fixture.ask(1));
    std::string payload;
    for (int i = 0; i < 700; ++i)
        payload += std::to_string(i);
    fixture.fromLink(dispatch->first, AttemptDone{dispatch->second.attempt, {}, payload});
    std::string joined;
    for (const Answer &part : fixture.toCaller<Answer>()) {
        cr_assert(part.payload.size() <= TrafficSettings{}.answerPartBytes);
        cr_assert_eq(part.parts, 2);
        joined += part.payload;
    }
    cr_assert(joined == payload);
}

// The owner's VM stalls while a request is queued, and resumes after the deadline. The first event
// then frees a slot. The request must be refused before that event is handled, and not start: its
// caller has given up waiting.
Test(requestOwner, startsNothingPastItsDeadlineAfterAPause)
{
    TrafficNodeFixture fixture;
    const auto running = fixture.start(fixture.ask(1, 10s));
    cr_assert(running && !fixture.start(fixture.ask(2, 2s)));
    fixture.now += 3s;
    fixture.done(*running);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).cause, RefusalCause::DeadlinePassed);
}

// The deadline passes while a request runs. The caller gets an unknown outcome at once, the target
// is asked to cancel, and its late answer is ignored.
Test(requestOwner, endsARunningRequestAtItsDeadline)
{
    TrafficNodeFixture fixture;
    const auto running = fixture.start(fixture.ask(1, 2s));
    fixture.pass(2s);
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::DeadlinePassed);
    cr_assert_eq(fixture.onLinks<CancelAttempt>().size(), 1);
    fixture.done(*running);
    cr_assert(fixture.toCaller<Answer>().empty());
    cr_assert_eq(fixture.node.counts().runningAttempts, 0);
}

// A request with less time left than a run takes is refused as "not run" instead of being
// dispatched: it would end as unknown, which a caller can't retry safely. The expected run time
// follows the attempts, and decays with such refusals.
Test(requestOwner, startsNothingThatCannotEndInTime)
{
    TrafficNodeFixture fixture;
    for (std::uint64_t id = 100; id < 120; ++id) {
        const auto dispatch = fixture.start(fixture.ask(id, 10s));
        fixture.pass(1s);
        fixture.done(*dispatch);
    }
    const auto running = fixture.start(fixture.ask(1, 10s));
    const auto token = fixture.reserve(fixture.ask(2, 1300ms));
    cr_assert(token.has_value());
    fixture.send(2, *token);
    fixture.pass(1s);
    fixture.done(*running);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    cr_assert_eq(fixture.toCaller<NotRun>().size(), 1);

    // The target is fast again: requests with little time left must reach it after some refusals.
    int refused = 0;
    while (refused < 100 && !fixture.start(fixture.ask(200 + refused, 300ms)))
        ++refused;
    cr_assert(refused < 100);
}

// The connection to the target breaks while a request runs, which may have run. It is retried only
// if it is idempotent; if the second target sheds it then, the outcome must still be unknown, as
// the first one may have run it.
Test(requestOwner, neverRepeatsWhatMayHaveRun)
{
    TrafficNodeFixture nonIdempotent{2};
    const auto dispatch = nonIdempotent.start(nonIdempotent.ask(1));
    nonIdempotent.handle(LinkClosed{dispatch->first, Generation{5}});
    cr_assert(nonIdempotent.onLinks<Dispatch>().empty());
    cr_assert_eq(nonIdempotent.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::LinkBroken);

    TrafficNodeFixture idempotent{2};
    Reserve reserve = idempotent.ask(1);
    reserve.idempotent = true;
    const auto first = idempotent.start(reserve);
    idempotent.handle(LinkClosed{first->first, Generation{5}});
    const auto retried = idempotent.onLinks<Dispatch>();
    cr_assert_eq(retried.size(), 1);
    cr_assert(retried.front().first != first->first);
    cr_assert(retried.front().second.attempt != first->second.attempt);
    idempotent.done({first->first, first->second});
    cr_assert(idempotent.toCaller<Answer>().empty());
    idempotent.shed(retried.front());
    idempotent.shed(idempotent.onLinks<Dispatch>().at(0));
    cr_assert(idempotent.toCaller<NotRun>().empty());
    cr_assert_eq(idempotent.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::LinkBroken);
}

// Both targets shed every request. A shed request may be retried at the other one, but all retries
// must stay within the workspace's retry budget: an initial 10, plus 10 % of the first attempts.
Test(requestOwner, keepsRetriesWithinTheBudget)
{
    TrafficNodeFixture fixture{2, 4};
    constexpr std::uint64_t Requests = 200;
    std::size_t dispatches = 0;
    std::size_t refused = 0;
    for (std::uint64_t id = 0; id < Requests; ++id) {
        auto dispatch = fixture.start(fixture.ask(id, 60s));
        while (dispatch) {
            ++dispatches;
            fixture.shed(*dispatch);
            refused += fixture.toCaller<NotRun>().size();
            const auto retried = fixture.onLinks<Dispatch>();
            dispatch = retried.empty() ? std::nullopt : std::optional{retried.front()};
        }
        fixture.pass(200ms);
    }
    cr_assert(dispatches > Requests, "%zu", dispatches);
    cr_assert(dispatches <= Requests + 10 + Requests / 10 + 1, "%zu", dispatches);
    cr_assert_eq(refused, Requests);
}

// Reservation tokens that this daemon must not act on: of its earlier incarnation, of another
// daemon, or forged. None of them may start a request; the caller is told at once what is known.
Test(requestOwner, actsOnlyOnItsOwnReservations)
{
    TrafficNodeFixture fixture;
    const RequestId request{1, 1};
    const auto token = fixture.reserve(fixture.ask(1));
    ReservationToken earlier = *token;
    earlier.incarnation = Incarnation{4};
    fixture.send(1, fixture.keys->sealReservation(request, earlier));
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::OwnerRestarted);
    cr_assert(fixture.onLinks<Dispatch>().empty());

    ReservationToken other = *token;
    other.owner = DaemonId{101};
    other.ownerAddress = TrafficNodeFixture::OtherPeer;
    other = fixture.keys->sealReservation(request, other);
    fixture.send(1, other);
    cr_assert_eq(fixture.all<SendToPeer>().at(0).peer, TrafficNodeFixture::OtherPeer);
    fixture.handle(
        FromPeer{TrafficNodeFixture::OtherPeer,
                 {DaemonId{101}, Incarnation{1},
                  OwnerRequest{TrafficNodeFixture::Caller, RequestData{request, other, ""}}}});
    cr_assert_eq(fixture.toCaller<OutcomeUnknown>().at(0).cause, UnknownCause::OwnerGone);

    // The other daemon joins, is suspected, leaves the view as dead members do, and is restarted.
    Member member{DaemonId{101},      Incarnation{5}, TrafficNodeFixture::OtherPeer, {}, "alx-raml",
                  MemberState::Alive, Revision{10}};
    const auto handedOver = [&](std::vector<Member> others) {
        View view = fixture.view;
        view.members.insert(view.members.end(), others.begin(), others.end());
        fixture.handle(ViewChanged{std::make_shared<View>(view)});
        fixture.send(1, other);
        const auto unknown = fixture.toCaller<OutcomeUnknown>();
        cr_assert_eq(unknown.size() + fixture.all<SendToPeer>().size(), 1);
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
    fixture.handle(ViewChanged{std::make_shared<View>(fixture.view)});

    ReservationToken forged = *token;
    forged.deadline += 1h;
    fixture.send(1, forged);
    cr_assert(fixture.all<SendToCaller>().empty() && fixture.onLinks<Dispatch>().empty());
    fixture.send(1, *token);
    cr_assert_eq(fixture.onLinks<Dispatch>().size(), 1);
}

// A caller whose Reserve was duplicated holds reservations of two owners and uses the first one.
// The unused one expires: its place is freed without a message, which the caller could mistake for
// the outcome of its running request. If the request arrives after all, it is refused.
Test(requestOwner, expiresAReservationSilently)
{
    TrafficNodeFixture fixture;
    const auto token = fixture.reserve(fixture.ask(1, 10s));
    fixture.pass(1100ms);
    cr_assert(fixture.all<SendToCaller>().empty());
    cr_assert(fixture.start(fixture.ask(2)).has_value());
    fixture.send(1, *token);
    cr_assert(fixture.onLinks<Dispatch>().empty());
    const NotRun refusal = fixture.toCaller<NotRun>().at(0);
    cr_assert(refusal.owner == TrafficNodeFixture::identity().daemon);
}

// A cancelled request that is queued is refused at once. For a running one the target decides: the
// caller gets its answer, or its report that the request did not run.
Test(requestOwner, cancels)
{
    TrafficNodeFixture fixture;
    const auto cancel = [&](std::uint64_t id, const ReservationToken &token) {
        fixture.fromCaller(RequestMessage{CancelRequest{RequestId{1, id}, token}});
    };
    const auto first = fixture.reserve(fixture.ask(1));
    fixture.send(1, *first);
    const auto running = fixture.onLinks<Dispatch>().at(0);
    const auto second = fixture.reserve(fixture.ask(2));
    fixture.send(2, *second);
    cancel(2, *second);
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).cause, RefusalCause::Cancelled);
    const auto third = fixture.reserve(fixture.ask(3));
    cancel(3, *third);
    cr_assert_eq(fixture.toCaller<NotRun>().size(), 1);

    cancel(1, *first);
    cr_assert_eq(fixture.onLinks<CancelAttempt>().size(), 1);
    cr_assert(fixture.all<SendToCaller>().empty());
    fixture.shed(running);
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).cause, RefusalCause::Cancelled);
    cr_assert(fixture.onLinks<Dispatch>().empty());
}

// An urgent request arrives while bulk requests fill the queue. The newest bulk request is
// displaced and must be refused at once, not at its deadline; running requests are never displaced.
Test(requestOwner, refusesADisplacedRequestAtOnce)
{
    TrafficNodeFixture fixture;
    std::vector<NotRun> refusals;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        Reserve bulk = fixture.ask(id);
        bulk.requestClass = RequestClass::Bulk;
        fixture.start(bulk);
    }
    Reserve urgent = fixture.ask(9);
    urgent.requestClass = RequestClass::Urgent;
    cr_assert(fixture.reserve(urgent).has_value());
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).request.low, 5);
    cr_assert(fixture.toCaller<NotRun>().at(0).retryAfter > 0s);
    cr_assert_eq(fixture.node.counts().runningAttempts, 1);
}

// The request table is full, or retained answers reach their limit: new requests are refused with
// a time to retry after, and those in progress continue.
Test(requestOwner, refusesAtItsLimits)
{
    TrafficSettings settings;
    settings.maxRequests = 2;
    TrafficNodeFixture fixture{1, 8, settings};
    const auto first = fixture.start(fixture.ask(1));
    const auto second = fixture.start(fixture.ask(2));
    cr_assert(!fixture.reserve(fixture.ask(3)));
    cr_assert_eq(fixture.toCaller<NotRun>().at(0).cause, RefusalCause::TableFull);
    cr_assert(fixture.toCaller<NotRun>().at(0).owner.isNull());
    fixture.done(*first);
    fixture.done(*second);
    cr_assert_eq(fixture.toCaller<Answer>().size(), 1);
    fixture.pass(4s);
    cr_assert(fixture.reserve(fixture.ask(3)).has_value());

    settings = {};
    settings.maxAnswerBytes = 4;
    TrafficNodeFixture answers{1, 8, settings};
    answers.done(*answers.start(answers.ask(1)));
    cr_assert(!answers.reserve(answers.ask(2)));
}
