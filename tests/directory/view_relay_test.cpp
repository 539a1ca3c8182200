#include "core/directory/view_relay.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint NearRoot{0x0A010001, 9000}; ///< In the failure domain d1.
constexpr Endpoint Asker{0x0A010007, 9000};    ///< In d1 too.

/// \brief A root of the domain d0 with a complete copy.
struct RootOfD0
{
    TimePoint now{1h};
    CollectionCopy copy;
    ViewRelay relay{
        "d0",
        {},
        {[this] { return now; }, [](Duration, std::function<void()>) {}, [] { return Lineage{}; },
         [](const Endpoint &daemon) { return daemon == NearRoot; }, [](const Endpoint &) {}}};

    RootOfD0()
    {
        (void)copy.applySnapshot({{"targets/1", "ready", ObjectVersion{3}}}, ObjectVersion{3},
                                 false);
        copy.confirm(now);
        relay.add("targets/", copy);
    }

    /// \return The answer to a daemon of d1 that has the copy.
    PeerAnswer ask(const Endpoint &querier)
    {
        PeerQuery query;
        query.collections = {{"targets/", ObjectVersion{3}}};
        query.querier = querier;
        query.domain = "d1";
        PeerReply reply;
        relay.handle(query, [&reply](const PeerReply &answer) { reply = answer; });
        cr_assert(reply.has_value());
        return *reply;
    }
};

} // namespace

// A daemon of d1 queries the root of d0, which redirects it to the root of d1. That one is
// unreachable: the daemon returns and has to get a slot, or it would have only the store.
Test(viewRelay, acceptsADaemonThatCannotReachItsLocalRoot)
{
    RootOfD0 root;
    cr_assert(root.ask(NearRoot).redirect.empty());
    const std::vector<PeerReferral> expected{{NearRoot, "d1"}};
    cr_assert(root.ask(Asker).redirect == expected);
    root.now += 400ms;
    cr_assert(root.ask(Asker).redirect.empty());
    cr_assert(root.ask(Asker).hasSlot);
}

// The root of d1 has sent nothing for a while and may be gone: no daemon must be redirected there.
Test(viewRelay, doesNotRedirectToASilentRoot)
{
    RootOfD0 root;
    cr_assert(root.ask(NearRoot).redirect.empty());
    root.now += 4s;
    root.copy.confirm(root.now);
    cr_assert(root.ask(Asker).redirect.empty());
}

namespace {

/// \brief A daemon that has just started and has no copy.
struct EmptyDaemon
{
    TimePoint now{1h};
    CollectionCopy copy;
    std::vector<Endpoint> fresherPeers;
    std::vector<std::function<void()>> timers;
    std::vector<FollowerOverflow> overflows;
    ViewRelay relay{
        "d0",
        {},
        {[this] { return now; },
         [this](Duration, std::function<void()> call) { timers.push_back(std::move(call)); },
         [] { return Lineage{}; }, [](const Endpoint &) { return false; },
         [this](const Endpoint &querier) { fresherPeers.push_back(querier); },
         [this](const FollowerOverflow &overflow) { overflows.push_back(overflow); }}};

    EmptyDaemon() { relay.add("targets/", copy); }

    void ask(const Endpoint &querier, std::uint64_t after, std::vector<PeerReply> &replies)
    {
        PeerQuery query;
        query.collections = {{"targets/", ObjectVersion{after}}};
        query.querier = querier;
        query.domain = "d0";
        query.wait = 1s;
        relay.handle(query, [&replies](const PeerReply &answer) { replies.push_back(answer); });
    }
};

[[nodiscard]] Endpoint daemonAt(std::uint32_t index)
{
    return {0x0A020000 + index, 9000};
}

} // namespace

// Hundreds of daemons start at once without a copy. Those that get a follower slot wait for it, and
// the others are redirected to them at once; if they were sent away, all would return over and
// over.
Test(viewRelay, followerSlotsAreTakenBeforeThereIsACopy)
{
    EmptyDaemon root;
    std::vector<PeerReply> replies;
    for (std::uint32_t index = 0; index < 4; ++index)
        root.ask(daemonAt(index), 0, replies);
    cr_assert(replies.empty());
    root.ask(daemonAt(4), 0, replies);
    cr_assert_eq(replies.size(), 1);
    cr_assert(!replies.front()->redirect.empty() && replies.front()->isEmpty);
    (void)root.copy.applySnapshot({{"targets/1", "ready", ObjectVersion{3}}}, ObjectVersion{3},
                                  false);
    root.copy.confirm(root.now);
    root.relay.onCopyChanged();
    cr_assert_eq(replies.size(), 5);
    cr_assert(replies.back()->collections.at(0).delta.complete);
}

Test(viewRelay, waitingQueryTimesOutWithAnEmptyAnswer)
{
    EmptyDaemon root;
    std::vector<PeerReply> replies;
    root.ask(daemonAt(1), 0, replies);
    root.timers.at(0)();
    cr_assert_eq(replies.size(), 1);
    cr_assert(replies.front()->isEmpty && replies.front()->collections.empty());
}

// The daemon lost its copy with its power while the store is unavailable; a daemon that still has a
// copy queries it.
Test(viewRelay, querierWithACopyIsReportedAsFresher)
{
    EmptyDaemon root;
    std::vector<PeerReply> replies;
    root.ask(daemonAt(1), 7, replies);
    cr_assert(root.fresherPeers == std::vector<Endpoint>{daemonAt(1)});
    cr_assert(!replies.at(0).has_value());
}

// Hundreds of daemons are redirected: one notice at the start and one at the end.
Test(viewRelay, reportsTheStartAndTheEndOfAnOverflow)
{
    EmptyDaemon root;
    std::vector<PeerReply> replies;
    for (std::uint32_t index = 0; index < 100; ++index)
        root.ask(daemonAt(index), 0, replies);
    root.now += 6s;
    root.relay.expire();
    root.relay.expire();
    cr_assert_eq(root.overflows.size(), 2);
    cr_assert(!root.overflows.at(0).ended && root.overflows.at(1).ended);
    cr_assert_eq(root.overflows.at(1).count, 96);
    cr_assert_eq(root.relay.redirected(), 96);
}

Test(viewRelay, whatIsNotKnownHereIsNotAnswered)
{
    RootOfD0 root;
    PeerQuery query;
    query.collections = {{"targets/", {}}, {"nothing/", {}}};
    bool answered = false;
    root.relay.handle(query, [&](const PeerReply &reply) { answered = reply.has_value(); });
    cr_assert(!answered);
}
