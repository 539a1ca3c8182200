#include "core/limits/admission_queue.h"

#include <algorithm>
#include <map>

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

struct QueueFixture
{
    explicit QueueFixture(std::size_t capacity)
        : queue(capacity)
    {
    }

    [[nodiscard]] std::optional<QueueRefusal> push(RequestClass requestClass,
                                                   const std::string &workspace = "school",
                                                   Duration left = 10s, bool ready = true)
    {
        return queue.push({{0, ++last}, requestClass, workspace, now + left, now, ready}, now,
                          random, displaced);
    }

    [[nodiscard]] std::optional<QueueEntry> pop() { return queue.pop(now, expired); }

    AdmissionQueue queue;
    TimePoint now = TimePoint{} + 1h;
    Random random{3};
    std::uint64_t last = 0;
    std::optional<QueueEntry> displaced;
    std::vector<QueueEntry> expired;
};

} // namespace

Test(admissionQueue, urgentGoesFirstThenArrival)
{
    QueueFixture fixture{10};
    cr_assert_not(fixture.push(RequestClass::Bulk));
    cr_assert_not(fixture.push(RequestClass::Normal));
    cr_assert_not(fixture.push(RequestClass::Normal));
    cr_assert_not(fixture.push(RequestClass::Urgent));
    for (const std::uint64_t expected : {4U, 2U, 3U, 1U})
        cr_assert_eq(fixture.pop()->request.low, expected);
    cr_assert_not(fixture.pop());
}

// The queue is full of less urgent requests when an urgent one arrives. The newest of the lowest
// class is displaced and answered as not run; one more of that class is refused.
Test(admissionQueue, anUrgentArrivalDisplacesTheNewestOfALesserClass)
{
    QueueFixture fixture{3};
    cr_assert_not(fixture.push(RequestClass::Bulk));
    cr_assert_not(fixture.push(RequestClass::Normal));
    cr_assert_not(fixture.push(RequestClass::Bulk));
    cr_assert_not(fixture.push(RequestClass::Urgent));
    cr_assert_eq(fixture.displaced->request.low, 3U);
    const std::optional<QueueRefusal> refusal = fixture.push(RequestClass::Bulk);
    cr_assert(refusal->cause == RefusalCause::Overload);
    cr_assert_not(fixture.displaced);
    cr_assert_eq(fixture.queue.size(), 3U);
}

// One workspace fills the queue before the other's first request arrives. The other must still get
// its share of places and of starts: half of them, or by weight.
Test(admissionQueue, aFloodCostsOtherWorkspacesLittle)
{
    for (const std::uint32_t weight : {100U, 300U}) {
        QueueFixture fixture{40};
        fixture.queue.setWorkspaceWeight("library", weight);
        for (int i = 0; i < 100; ++i)
            (void)fixture.push(RequestClass::Normal, "flood");
        cr_assert(fixture.push(RequestClass::Normal, "flood")->cause == RefusalCause::Overload);
        for (int i = 0; i < 10; ++i)
            cr_assert_not(fixture.push(RequestClass::Normal, "library"));
        cr_assert(fixture.push(RequestClass::Normal, "flood")->cause
                  == RefusalCause::WorkspaceLimit);
        std::map<std::string, std::uint32_t> turns;
        for (int i = 0; i < 12; ++i)
            ++turns[fixture.pop()->workspace];
        cr_assert_eq(turns["library"], weight == 100 ? 6U : 9U);
    }
}

// A workspace sends requests again after it was idle. It must get its share from now on and no
// credit for the time in which it was idle.
Test(admissionQueue, anIdleWorkspaceSavesUpNoTurns)
{
    QueueFixture fixture{100};
    for (int i = 0; i < 50; ++i) {
        cr_assert_not(fixture.push(RequestClass::Normal, "library"));
        (void)fixture.pop();
    }
    for (int i = 0; i < 10; ++i) {
        cr_assert_not(fixture.push(RequestClass::Normal, "library"));
        cr_assert_not(fixture.push(RequestClass::Normal, "school"));
    }
    std::map<std::string, int> turns;
    for (int i = 0; i < 10; ++i)
        ++turns[fixture.pop()->workspace];
    cr_assert(turns["school"] >= 4 && turns["school"] <= 6);
}

// Ten requests of 100 ms each wait for one slot when a request with half a second left arrives. It
// must be refused at once instead of waiting in vain. An urgent one starts first, so it is
// accepted.
Test(admissionQueue, whatCannotStartInTimeIsRefusedOnArrival)
{
    QueueFixture fixture{100};
    for (int i = 0; i < 20; ++i)
        fixture.queue.slotFreed(100ms, 1, fixture.now);
    for (int i = 0; i < 10; ++i)
        cr_assert_not(fixture.push(RequestClass::Normal));
    const auto refusal = fixture.push(RequestClass::Normal, "school", 500ms);
    cr_assert(refusal->cause == RefusalCause::DeadlinePassed);
    cr_assert_gt(refusal->retryAfter, Duration{0});
    cr_assert_not(fixture.push(RequestClass::Normal, "school", 2s));
    cr_assert_not(fixture.push(RequestClass::Urgent, "school", 500ms));
    cr_assert(fixture.push(RequestClass::Urgent, "school", 0ms)->cause
              == RefusalCause::DeadlinePassed);
}

Test(admissionQueue, expiredEntriesAreReturnedSeparately)
{
    QueueFixture fixture{10};
    cr_assert_not(fixture.push(RequestClass::Normal, "school", 50ms));
    cr_assert_not(fixture.push(RequestClass::Normal, "school", 5s));
    fixture.now += 50ms;
    cr_assert_eq(fixture.pop()->request.low, 2U);
    cr_assert_eq(fixture.expired.size(), 1U);
    cr_assert_eq(fixture.expired.front().request.low, 1U);
    cr_assert_eq(fixture.queue.size(), 0U);
}

// A reservation keeps its place in the queue while its data is on the way, but a free slot goes to
// a request that is ready.
Test(admissionQueue, aReservationHoldsAPlaceButNoSlot)
{
    QueueFixture fixture{2};
    cr_assert_not(fixture.push(RequestClass::Normal, "school", 10s, false));
    cr_assert_not(fixture.push(RequestClass::Normal));
    cr_assert(fixture.push(RequestClass::Normal), "both places are taken");
    cr_assert_eq(fixture.pop()->request.low, 2U);
    cr_assert_not(fixture.pop());
    cr_assert(fixture.queue.setReady({0, 1}));
    cr_assert_eq(fixture.pop()->request.low, 1U);
    cr_assert_not(fixture.queue.setReady({0, 1}));
}

Test(admissionQueue, removedEntriesFreeTheirPlaces)
{
    QueueFixture fixture{1};
    cr_assert_not(fixture.push(RequestClass::Normal));
    cr_assert(fixture.queue.remove({0, 1}));
    cr_assert_not(fixture.queue.remove({0, 1}));
    cr_assert_not(fixture.push(RequestClass::Normal));
}

// Many callers are refused at one instant. Their retries must be spread over the time that serving
// all of them would take, or they would return together and be refused again.
Test(admissionQueue, refusedCallersRetrySpreadOut)
{
    QueueFixture fixture{10};
    for (int i = 0; i < 20; ++i)
        fixture.queue.slotFreed(20ms, 2, fixture.now);
    std::map<std::int64_t, int> perTenthSecond;
    for (int i = 0; i < 200; ++i) {
        const auto refusal = fixture.push(RequestClass::Normal);
        if (refusal)
            ++perTenthSecond[refusal->retryAfter / 100ms];
    }
    cr_assert_geq(perTenthSecond.size(), 15U);
    for (const auto &[slot, count] : perTenthSecond)
        cr_assert_lt(count, 60);
    Duration shortest = 1h;
    Duration longest{0};
    for (int i = 0; i < 100; ++i) {
        const Duration wait = fixture.queue.retryAfter(fixture.random);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    cr_assert_gt(longest, 3 * shortest);
}
