#include "core/directory/store_feed.h"

#include "support/store_feed_fixture.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Targets = StoreFeedFixture::DefaultTargets;

[[nodiscard]] std::string keyOf(std::uint64_t target)
{
    return StoreFeedFixture::keyOf(target);
}

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
