#include "core/directory/collection_copy.h"

#include <criterion/criterion.h>

using namespace baobabtrail;

namespace {

[[nodiscard]] StoredObject object(const std::string &key, std::uint64_t version)
{
    return {key, "v" + std::to_string(version), ObjectVersion{version}};
}

} // namespace

Test(copy, anOlderStateChangesNothing)
{
    CollectionCopy copy;
    cr_assert(copy.applySnapshot({object("a", 3), object("b", 4)}, ObjectVersion{5}, false));
    cr_assert(!copy.applySnapshot({object("a", 2)}, ObjectVersion{4}, false));
    cr_assert(!copy.applyChanges({{}, {"b"}, ObjectVersion{4}, false}));
    cr_assert_eq(copy.size(), 2);
    cr_assert(copy.version() == ObjectVersion{5});
}

Test(copy, whatIsMissingFromAStateIsRemoved)
{
    CollectionCopy copy;
    (void)copy.applySnapshot({object("a", 3), object("b", 4)}, ObjectVersion{5}, false);
    const auto change
        = copy.applySnapshot({object("b", 4), object("c", 6)}, ObjectVersion{6}, true);
    cr_assert(change && change->afterOutage);
    cr_assert(change->written.size() == 1 && change->written.front().key == "c");
    cr_assert(change->removed == std::vector<std::string>{"a"});
}

// A target was created and removed while this copy got no updates, and then it applied a complete
// state. A peer with a version in between still has the target: an answer that leaves it there
// would send flows to it for ever.
Test(copy, peerWithAnIntermediateVersionDropsShortLivedObjects)
{
    CollectionCopy listed;
    (void)listed.applySnapshot({}, ObjectVersion{2}, false);
    (void)listed.applySnapshot({object("b", 30)}, ObjectVersion{38}, false);
    cr_assert(listed.since(ObjectVersion{5}).complete);

    CollectionCopy watched;
    (void)watched.applySnapshot({object("b", 1)}, ObjectVersion{2}, false);
    cr_assert(!watched.applyChanges({{}, {"a"}, ObjectVersion{38}, false}));
    const CollectionDelta delta = watched.since(ObjectVersion{5});
    cr_assert(!delta.complete && delta.change.removed == std::vector<std::string>{"a"});
    cr_assert(watched.changedSince(ObjectVersion{5}));
}

// A peer gets exactly the changes since its version, each key once in its newest state. One that
// lags behind the change log gets the complete collection.
Test(copy, aPeerGetsWhatItLacks)
{
    CollectionCopy copy;
    (void)copy.applySnapshot({object("a", 3)}, ObjectVersion{5}, false);
    for (std::uint64_t version = 6; version < 10; ++version)
        (void)copy.applyChanges({{object("b", version)}, {}, ObjectVersion{version}, false});
    (void)copy.applyChanges({{}, {"a"}, ObjectVersion{10}, false});
    const CollectionDelta delta = copy.since(ObjectVersion{7});
    cr_assert(!delta.complete && delta.change.version == ObjectVersion{10});
    cr_assert(delta.change.written.size() == 1 && delta.change.written.front().value == "v9");
    cr_assert(delta.change.removed == std::vector<std::string>{"a"});
    cr_assert(copy.since(ObjectVersion{4}).complete);
    cr_assert(copy.since(ObjectVersion{10}).change.written.empty());
    for (std::uint64_t version = 11; version < 1000; ++version)
        (void)copy.applyChanges({{object("b", version)}, {}, ObjectVersion{version}, false});
    cr_assert(copy.since(ObjectVersion{11}).complete);
    cr_assert(!copy.since(ObjectVersion{900}).complete);
}
