#include "core/directory/patch_cache.h"
#include "core/directory/peer_feed.h"
#include "core/directory/value_patch.h"
#include "wire/view_form.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

constexpr Endpoint Root{0x0A010000, 9000};
constexpr Endpoint Own{0x0A010005, 9000};
constexpr const char *Key = "routes/main";

[[nodiscard]] std::string table(int routes)
{
    std::string text;
    for (int index = 0; index < routes; ++index)
        text += "route " + std::to_string(index * 7919 % 10007) + " leads to boarding; ";
    return text;
}

[[nodiscard]] StoredObject object(int routes, std::uint64_t version)
{
    return {Key, table(routes), ObjectVersion{version}};
}

/// \brief A copy to which these versions were applied in order.
[[nodiscard]] CollectionCopy copyOf(const std::vector<StoredObject> &versions)
{
    CollectionCopy copy;
    for (const StoredObject &each : versions)
        (void)copy.applySnapshot({each}, each.version, false);
    return copy;
}

[[nodiscard]] PeerAnswer answerOf(const CollectionCopy &copy, std::uint64_t after, bool patches)
{
    PeerAnswer answer;
    answer.domain = "d0";
    answer.lineage = {{Root}, Root, 1};
    CollectionAnswer &routes = answer.collections.emplace_back();
    routes.delta = copy.since(ObjectVersion{after});
    PatchCache cache;
    if (patches)
        cache.replaceWithPatches(copy, ObjectVersion{after}, routes);
    return answer;
}

/// \brief A feed of the routes whose queries are answered by the test.
struct RoutesFeedFixture
{
    struct Asked
    {
        PeerQuery query;
        std::function<void(PeerResult)> done;
    };

    Random random{1};
    CollectionCopy copy;
    std::vector<Asked> asked;
    PeerFeed feed;

    explicit RoutesFeedFixture(CollectionCopy held)
        : copy(std::move(held))
        , feed({}, {Own, "d0"}, callbacks(), random,
               {{"routes/", &copy, [](const CollectionChange &) {}}},
               {[](PeerState) {}, [](bool) {}})
    {
        feed.start({Root});
    }

    [[nodiscard]] PeerFeedCallbacks callbacks()
    {
        PeerFeedCallbacks callbacks;
        callbacks.now = [] { return TimePoint{1h}; };
        callbacks.after = [](Duration, const std::function<void()> &) {};
        callbacks.ask = [this](const Endpoint &, const PeerQuery &query, const QueryTimeouts &,
                               std::function<void(PeerResult)> done) {
            asked.push_back({query, std::move(done)});
        };
        return callbacks;
    }
};

} // namespace

Test(valuePatch, sizeFollowsTheChangeNotTheValue)
{
    const std::string base = table(5000);
    const std::string value = base + "route 4 leads to refunds; ";
    const std::string patch = makePatch(base, value);
    cr_assert_lt(patch.size(), 300, "%zu bytes", patch.size());
    cr_assert(applyPatch(base, patch) == value);
}

Test(valuePatch, isRefusedOnAnotherBaseOrWhenDamaged)
{
    const std::string base = table(500);
    const std::string patch = makePatch(base, table(600));
    cr_assert_not(applyPatch(table(499), patch).has_value());
    cr_assert_not(applyPatch(base, patch.substr(0, patch.size() / 2)).has_value());
    cr_assert_not(applyPatch(base, "").has_value());
    cr_assert_not(applyPatch(base, "no patch at all").has_value());
}

// One follower lags by one version, another by two, a third lacks versions that nobody retained,
// and one is of a release without patches: the last two get the whole value.
Test(patchCache, servesThoseWhoseValueIsRemembered)
{
    const CollectionCopy copy = copyOf({object(500, 10), object(600, 20), object(601, 30)});
    cr_assert_eq(answerOf(copy, 20, true).collections.at(0).patches.at(0).base.value(), 20);
    cr_assert_eq(answerOf(copy, 12, true).collections.at(0).patches.at(0).base.value(), 10);
    for (const PeerAnswer &whole : {answerOf(copy, 5, true), answerOf(copy, 20, false)}) {
        cr_assert(whole.collections.at(0).patches.empty());
        cr_assert_eq(whole.collections.at(0).delta.change.written.at(0).value.size(),
                     table(601).size());
    }
}

Test(patchCache, travelsAsWritten)
{
    const CollectionCopy copy = copyOf({object(500, 10), object(600, 20)});
    const PeerAnswer sent = answerOf(copy, 10, true);
    const auto read = wire::parseAnswer(wire::toJson(sent));
    cr_assert(read.has_value());
    const std::vector<ValuePatch> &patches = read->collections.at(0).patches;
    cr_assert_eq(patches.size(), 1);
    cr_assert_eq(patches.at(0).key, Key);
    cr_assert(patches.at(0).bytes == sent.collections.at(0).patches.at(0).bytes);
    cr_assert_eq(patches.at(0).version.value(), 20);
    PeerQuery query;
    query.collections = {{"routes/", ObjectVersion{10}}};
    query.patches = true;
    cr_assert(wire::parseQuery(wire::toJson(query))->patches);
}

// A daemon listed the store between two versions that its source knows, so the patch was made for a
// value that it never had. It has to query the same source again for the whole value.
Test(patchCache, onePatchThatDoesNotFitIsFollowedByTheWholeValue)
{
    const CollectionCopy source = copyOf({object(500, 10), object(600, 20)});
    RoutesFeedFixture daemon{copyOf({object(550, 15)})};
    cr_assert(daemon.asked.at(0).query.patches);
    daemon.asked.at(0).done({answerOf(source, 15, true)});
    cr_assert_eq(daemon.copy.version().value(), 15);
    cr_assert_not(daemon.asked.at(1).query.patches);
    daemon.asked.at(1).done({answerOf(source, 15, false)});
    cr_assert_eq(daemon.copy.version().value(), 20);
    cr_assert(daemon.copy.find(Key)->value == table(600));
    cr_assert(daemon.asked.at(2).query.patches);
}

// The source listed the store again and can't tell what changed since the daemon's version, so its
// answer is complete; the routes have not changed. The daemon has to retain them: without them it
// would keep its old copy for ever and have no routes to send.
Test(patchCache, aLargeValueThatDidNotChangeIsKept)
{
    CollectionCopy source = copyOf({object(500, 10), object(600, 20)});
    (void)source.applySnapshot({object(600, 20)}, ObjectVersion{200}, false);
    CollectionCopy held = copyOf({object(500, 10), object(600, 20)});
    (void)held.applyChanges({{}, {}, ObjectVersion{150}});
    RoutesFeedFixture daemon{std::move(held)};
    const PeerAnswer answer = answerOf(source, 150, true);
    cr_assert(answer.collections.at(0).delta.complete);
    daemon.asked.at(0).done({answer});
    cr_assert_eq(daemon.copy.version().value(), 200);
    cr_assert_not_null(daemon.copy.find(Key));
    cr_assert(daemon.copy.find(Key)->value == table(600));
}

// As above, with a patch to a version that the daemon already got from the store.
Test(patchCache, aPatchOfAVersionThatIsKnownTakesNothingAway)
{
    const CollectionCopy source = copyOf({object(500, 10), object(600, 20)});
    RoutesFeedFixture daemon{copyOf({object(600, 20)})};
    PeerAnswer answer = answerOf(source, 10, true);
    answer.collections.at(0).delta.complete = true;
    cr_assert_eq(answer.collections.at(0).patches.size(), 1);
    daemon.asked.at(0).done({answer});
    cr_assert_not_null(daemon.copy.find(Key));
}
