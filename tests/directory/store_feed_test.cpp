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
struct ListedStore
{
    VirtualTime time;
    FakeDirectoryStore store{time};
    Random random{1};
    CollectionCopy copy;
    std::vector<CollectionChange> changes;
    StoreFeed feed;

    ListedStore()
        : feed(
            "targets/", {}, callbacks(), random, copy,
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

// Pages that may be old are cheap, and a target that drained since they were made would come back.
// Nothing of the list may be in force before a watch has brought what the pages lack.
Test(storeFeed, pagesThatAreOldBringNoTargetBack)
{
    ListedStore rig;
    rig.store.lag();
    rig.store.put(keyOf(100), "draining");
    rig.store.erase(keyOf(110));
    rig.store.put(keyOf(Targets), "ready");
    rig.feed.start();
    rig.time.run(500ms);
    cr_assert_eq(rig.changes.size(), 1);
    cr_assert_eq(rig.copy.size(), Targets);
    cr_assert_eq(rig.copy.find(keyOf(100))->value, "draining");
    cr_assert_null(rig.copy.find(keyOf(110)));
    cr_assert_not_null(rig.copy.find(keyOf(Targets)));
    cr_assert_eq(rig.copy.version().value(), rig.store.revision());
    cr_assert_eq(rig.store.cheapCalls(), 2);
}

// The store has forgotten what changed since the old pages were made: only a list that is not old
// tells.
Test(storeFeed, aListIsMadeAnewWhereItsPagesAreTooOld)
{
    ListedStore rig;
    rig.store.lag();
    rig.store.put(keyOf(100), "draining");
    rig.store.compact();
    rig.feed.start();
    rig.time.run(500ms);
    cr_assert(rig.copy.complete());
    cr_assert_eq(rig.copy.find(keyOf(100))->value, "draining");
    cr_assert_eq(rig.copy.version().value(), rig.store.revision());
}

// Small collections come in one page, which is true as it is: no further call.
Test(storeFeed, aListOfOnePageCostsOneCall)
{
    ListedStore rig;
    rig.store.pageObjects = 500;
    rig.feed.start();
    rig.time.run(10ms);
    cr_assert(rig.copy.complete());
    cr_assert_eq(rig.store.cheapCalls(), 0);
    cr_assert_eq(rig.store.calls(), 2, "a list, and the watch that waits");
}
