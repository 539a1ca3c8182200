#include "core/directory/peer_feed.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint Root{0x0A010000, 9000};
constexpr Endpoint Own{0x0A010005, 9000};

/// \brief A feed whose questions are answered by the test.
struct AskedFeed
{
    struct Asked
    {
        PeerQuestion question;
        std::function<void(PeerReply)> done;
    };

    TimePoint now{1h};
    CollectionCopy copy;
    std::vector<Asked> asked;
    std::vector<std::function<void()>> pauses;
    PeerFeed feed;

    AskedFeed()
        : feed(
            "targets/", {}, {Own, "d0"}, ports(), copy, [](const CollectionChange &) {},
            [](PeerState) {}, [] {})
    {
        feed.start({Root});
    }

    [[nodiscard]] PeerPorts ports()
    {
        PeerPorts ports;
        ports.now = [this] { return now; };
        ports.after
            = [this](Duration, std::function<void()> call) { pauses.push_back(std::move(call)); };
        ports.ask = [this](const Endpoint &, const PeerQuestion &question, const AskLimits &,
                           std::function<void(PeerResult)> done) {
            asked.push_back({question, [done = std::move(done)](PeerReply reply) {
                                 done({std::move(reply)});
                             }});
        };
        return ports;
    }

    /// \brief The store's list comes, with one target.
    void list(std::uint64_t version)
    {
        (void)copy.takeAll({{"targets/1", "ready", ObjectVersion{version}}}, ObjectVersion{version},
                           false);
        copy.confirm(now);
    }

    /// \return What a root says to a look: its version, and how large its copy is.
    [[nodiscard]] static PeerAnswer look(std::uint64_t version, std::uint32_t objects)
    {
        PeerAnswer answer;
        answer.domain = "d0";
        answer.lineage = {{Root}, Root, 1};
        answer.objects = objects;
        answer.delta.change.version = ObjectVersion{version};
        return answer;
    }
};

} // namespace

// A daemon that starts looks at a root and lists the store at once. The list comes first, at
// version 10; then the root says that it has version 12. The daemon lacks what changed in between,
// as a drain, and must not take itself for up to date.
Test(peerFeed, aLookBringsNoVersion)
{
    AskedFeed daemon;
    cr_assert(daemon.asked.at(0).question.look);
    daemon.list(10);
    daemon.asked.at(0).done(AskedFeed::look(12, 1));
    cr_assert_eq(daemon.copy.version().value(), 10);
    cr_assert_eq(daemon.asked.size(), 2);
    cr_assert(!daemon.asked.at(1).question.look);
    cr_assert_eq(daemon.asked.at(1).question.after.value(), 10);
}

// A small copy is taken from the peer at once, beside the store's list; for a large one the daemon
// waits for the store, until that fails.
Test(peerFeed, aLargeCopyIsLeftToTheStoreUntilThatFails)
{
    AskedFeed small;
    small.asked.at(0).done(AskedFeed::look(12, 500));
    cr_assert_eq(small.asked.size(), 2);
    cr_assert(!small.asked.at(1).question.look);

    AskedFeed large;
    large.asked.at(0).done(AskedFeed::look(12, 501));
    cr_assert_eq(large.asked.size(), 1);
    large.feed.setStoreAway(true);
    cr_assert_eq(large.asked.size(), 2, "it does not wait for the pause to end");
    large.asked.at(1).done(AskedFeed::look(12, 501));
    cr_assert_eq(large.asked.size(), 3);
    cr_assert(!large.asked.at(2).question.look);
}
