#include "core/directory/store_feed.h"

#include "support/fake_directory_store.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Targets = 120;

[[nodiscard]] std::string keyOf(std::uint64_t target)
{
    return "targets/" + std::to_string(1000 + target);
}

/// \brief A store with a list of three pages, and a feed that has not started.
struct StoreFeedFixture
{
    VirtualTime time;
    FakeDirectoryStore store{time};
    Random random{1};
    StoreRetry retry{3s, {callbacks().now, callbacks().after}, random};
    CollectionCopy copy;
    std::vector<CollectionChange> changes;
    StoreFeed feed;

    StoreFeedFixture()
        : feed(
            "targets/", {}, callbacks(), random, retry, copy,
            [this](const CollectionChange &change) { changes.push_back(change); },
            [](const StoreCallResult &) {})
    {
        store.pageObjects = 50;
        for (std::uint64_t target = 0; target < Targets; ++target)
            store.put(keyOf(target), "ready");
    }

    [[nodiscard]] StoreFeedCallbacks callbacks()
    {
        StoreFeedCallbacks callbacks;
        callbacks.now = [this] { return time.now(); };
        callbacks.after = [this](Duration wait, std::function<void()> call) {
            time.after(wait, std::move(call));
        };
        callbacks.call
            = [this](const PlatformRequest &request, std::function<void(PlatformResult)> done) {
                  store.call(0, request, std::move(done));
              };
        return callbacks;
    }
};

} // namespace

// Pages from old replicas are cheap, but would bring back a target that was drained since. The list
// must not be in force before a watch has fetched what the pages lack.
Test(storeFeed, pagesThatAreOldBringNoTargetBack)
{
    StoreFeedFixture fixture;
    fixture.store.lag();
    fixture.store.put(keyOf(100), "draining");
    fixture.store.erase(keyOf(110));
    fixture.store.put(keyOf(Targets), "ready");
    fixture.feed.start();
    fixture.time.run(500ms);
    cr_assert_eq(fixture.changes.size(), 1);
    cr_assert_eq(fixture.copy.size(), Targets);
    cr_assert_eq(fixture.copy.find(keyOf(100))->value, "draining");
    cr_assert_null(fixture.copy.find(keyOf(110)));
    cr_assert_not_null(fixture.copy.find(keyOf(Targets)));
    cr_assert_eq(fixture.copy.version().value(), fixture.store.revision());
    cr_assert_eq(fixture.store.cheapCalls(), 2);
}

// The store has dropped the changes since the old pages were made, so that only a consistent list
// has them.
Test(storeFeed, listIsRestartedWhenItsPagesAreTooOld)
{
    StoreFeedFixture fixture;
    fixture.store.lag();
    fixture.store.put(keyOf(100), "draining");
    fixture.store.compact();
    fixture.feed.start();
    fixture.time.run(500ms);
    cr_assert(fixture.copy.complete());
    cr_assert_eq(fixture.copy.find(keyOf(100))->value, "draining");
    cr_assert_eq(fixture.copy.version().value(), fixture.store.revision());
}

// Small collections come in one page, which is a consistent read and needs no further call.
Test(storeFeed, aListOfOnePageCostsOneCall)
{
    StoreFeedFixture fixture;
    fixture.store.pageObjects = 500;
    fixture.feed.start();
    fixture.time.run(10ms);
    cr_assert(fixture.copy.complete());
    cr_assert_eq(fixture.store.cheapCalls(), 0);
    cr_assert_eq(fixture.store.calls(), 2, "a list, and the watch that waits");
}
