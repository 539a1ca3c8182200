#include "core/directory/peer_feed.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint Root{0x0A010000, 9000};
constexpr Endpoint Follower{0x0A010004, 9000};
constexpr Endpoint Own{0x0A010005, 9000};

/// \brief A feed whose queries are answered by the test.
struct PeerFeedFixture
{
    struct Asked
    {
        Endpoint peer;
        PeerQuery query;
        QueryTimeouts limits;
        std::function<void(PeerReply)> done;
    };
    struct Pause
    {
        TimePoint until;
        std::function<void()> call;
    };

    TimePoint now{1h};
    Random random{1};
    CollectionCopy copy;
    std::vector<Asked> asked;
    std::vector<Pause> pauses;
    PeerFeed feed;

    PeerFeedFixture()
        : feed({}, {Own, "d0"}, callbacks(), random,
               {{"targets/", &copy, [](const CollectionChange &) {}}},
               {[](PeerState) {}, [](bool) {}})
    {
        feed.start({Root});
    }

    [[nodiscard]] PeerFeedCallbacks callbacks()
    {
        PeerFeedCallbacks callbacks;
        callbacks.now = [this] { return now; };
        callbacks.after = [this](Duration wait, std::function<void()> call) {
            pauses.push_back({now + wait, std::move(call)});
        };
        callbacks.ask = [this](const Endpoint &peer, const PeerQuery &query,
                               const QueryTimeouts &limits, std::function<void(PeerResult)> done) {
            asked.push_back({peer, query, limits, [done = std::move(done)](PeerReply reply) {
                                 done({std::move(reply)});
                             }});
        };
        return callbacks;
    }

    /// \brief Advances the clock and runs the timers that are due.
    void run(Duration span)
    {
        now += span;
        const std::vector<Pause> all = std::exchange(pauses, {});
        for (const Pause &pause : all) {
            if (pause.until <= now)
                pause.call();
            else
                pauses.push_back(pause);
        }
    }

    /// \brief Applies a list of the store with one target.
    void list(std::uint64_t version)
    {
        (void)copy.applySnapshot({{"targets/1", "ready", ObjectVersion{version}}},
                                 ObjectVersion{version}, false);
        copy.confirm(now);
    }

    [[nodiscard]] static PeerAnswer emptyAnswer()
    {
        PeerAnswer answer;
        answer.domain = "d0";
        answer.lineage = {{Root}, Root, 1};
        answer.isEmpty = true;
        return answer;
    }

    [[nodiscard]] static PeerAnswer redirectAnswer(bool fromEmpty)
    {
        PeerAnswer answer;
        answer.domain = "d0";
        answer.isEmpty = fromEmpty;
        answer.redirect = {{Follower, "d0"}};
        return answer;
    }

    [[nodiscard]] static PeerAnswer whole(std::uint64_t version, int targets)
    {
        PeerAnswer answer;
        answer.domain = "d0";
        answer.lineage = {{Follower, Root}, Root, 2};
        CollectionDelta &delta = answer.collections.emplace_back().delta;
        delta.complete = true;
        delta.change.version = ObjectVersion{version};
        for (int target = 1; target <= targets; ++target)
            delta.change.written.push_back(
                {"targets/" + std::to_string(target), "ready", ObjectVersion{version}});
        return answer;
    }
};

} // namespace

// A daemon that starts queries an empty root, and its own list arrives first, at version 10.
// Whatever the root reports of itself, the daemon lacks the changes since, as a drain, and must not
// count as up to date.
Test(peerFeed, aSourceWithoutACopyBringsNoVersion)
{
    PeerFeedFixture daemon;
    cr_assert(daemon.asked.at(0).query.lacksCopy());
    daemon.list(10);
    daemon.asked.at(0).done(PeerFeedFixture::emptyAnswer());
    cr_assert_eq(daemon.copy.version().value(), 10);
    daemon.run(1s);
    cr_assert_eq(daemon.asked.size(), 2);
    cr_assert_eq(daemon.asked.at(1).query.collections.at(0).after.value(), 10);
}

// Guards against hundreds of daemons that start beside running ones and each list the store, page
// after page.
Test(peerFeed, aCopyOfAnySizeComesFromAPeer)
{
    PeerFeedFixture daemon;
    daemon.asked.at(0).done(PeerFeedFixture::redirectAnswer(false));
    cr_assert(daemon.asked.at(1).peer == Follower);
    daemon.run(500ms);
    cr_assert(daemon.feed.state() != PeerState::Lost,
              "the store would be queried besides the peer");
    daemon.asked.at(1).done(PeerFeedFixture::whole(12, 4400));
    cr_assert_eq(daemon.copy.size(), 4400);
    cr_assert(daemon.feed.state() == PeerState::Fresh);
}

// A peer that has the copies takes too long to send them, while callers wait.
Test(peerFeed, storeIsQueriedWhenAnExpectedCopyDoesNotArrive)
{
    PeerFeedFixture daemon;
    daemon.asked.at(0).done(PeerFeedFixture::redirectAnswer(false));
    daemon.run(200ms);
    cr_assert(daemon.feed.state() == PeerState::Fresh);
    daemon.run(900ms);
    cr_assert(daemon.feed.state() == PeerState::Lost);
}

// All daemons have started at once: no peer has a copy, and callers wait for the store.
Test(peerFeed, theStoreIsAskedSoonWhereNobodyHasACopy)
{
    PeerFeedFixture daemon;
    daemon.asked.at(0).done(PeerFeedFixture::redirectAnswer(true));
    cr_assert(daemon.feed.state() == PeerState::Lost);
    cr_assert_eq(daemon.asked.size(), 2, "it still waits in its follower slot");
}

// No peer answers: the VMs of all roots have no power.
Test(peerFeed, theStoreIsAskedAfterAShortWhileWhereNobodyAnswers)
{
    PeerFeedFixture daemon;
    cr_assert(daemon.feed.state() == PeerState::Fresh);
    daemon.run(110ms);
    cr_assert(daemon.feed.state() == PeerState::Lost);
}

// A root has lost its copy with its power, and the store is unavailable. Daemons that still have a
// copy query it; of several within a moment, only the first is queried back.
Test(peerFeed, peerWithAFresherCopyIsQueriedAtOnce)
{
    PeerFeedFixture root;
    root.feed.trySource(Follower);
    cr_assert(root.asked.at(1).peer == Follower);
    root.feed.trySource(Endpoint{0x0A010009, 9000});
    cr_assert_eq(root.asked.size(), 2);
}

// A VM without power accepts no connection, and must cost less time than a busy one.
Test(peerFeed, unpoweredVmTimesOutSoonerThanABusyOne)
{
    PeerFeedFixture daemon;
    const QueryTimeouts &limits = daemon.asked.at(0).limits;
    cr_assert_leq(limits.connect.count(), Duration{200ms}.count());
    cr_assert_gt(limits.firstByte.count(), Duration{1s}.count());
}

// A release that knows one collection at a time answers only for the first one.
Test(peerFeed, anAnswerForFewerCollectionsIsNoAnswer)
{
    PeerFeedFixture daemon;
    PeerAnswer answer = PeerFeedFixture::whole(12, 1);
    answer.collections.clear();
    daemon.asked.at(0).done(answer);
    cr_assert(!daemon.copy.complete());
}
