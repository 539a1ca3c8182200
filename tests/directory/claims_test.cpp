// Registrations of different keys may name one target id, which has only the digits of a key.

#include "support/cluster_checks.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Id = 7;
const std::string TrueKey = "targets/7";
const std::string OtherKey = "targets/7.tmp"; ///< Names the same id.
const std::string Unreadable = "odd";

[[nodiscard]] const DirectTarget *targetAt(DirectCluster &cluster, std::size_t index)
{
    return cluster.node(index)->router().targets().find(TargetId{Id});
}

/// \return The name of the registration by which the daemon places flows at the id; empty for none.
[[nodiscard]] std::string placedBy(DirectCluster &cluster, std::size_t index)
{
    const DirectTarget *target = targetAt(cluster, index);
    const DirectRouter &router = cluster.node(index)->router();
    const bool declared = target && router.routes().serviceNames.contains(target->entry.service);
    return declared && cluster.places(index, Id) ? target->entry.name : std::string{};
}

void expectPlacedBy(DirectCluster &cluster, const std::string &name, const std::string &when)
{
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cr_assert_eq(placedBy(cluster, index), name, "%s: daemon %zu uses \"%s\"", when.c_str(),
                     index, placedBy(cluster, index).c_str());
}

} // namespace

// Guards against another writer's entry that ends the flows of a live target, as it names the id of
// that target and is removed.
Test(claims, anotherKeyOfTheSameIdChangesNothing)
{
    for (const std::string &other : {Unreadable, std::string{"gone-service ready"},
                                     std::string{"x draining"}, std::string{"x ready"}}) {
        for (const bool otherFirst : {false, true}) {
            DirectCluster cluster{8, 3, 1};
            cluster.store.put(otherFirst ? OtherKey : TrueKey, otherFirst ? other : "x ready");
            cluster.time.run(5s);
            cluster.store.put(otherFirst ? TrueKey : OtherKey, otherFirst ? "x ready" : other);
            cluster.time.run(3s);
            expectPlacedBy(cluster, "7", other + " is there");
            cluster.store.erase(OtherKey);
            cluster.time.run(3s);
            expectPlacedBy(cluster, "7", other + " was removed");
            for (std::size_t index = 0; index < cluster.size(); ++index)
                cr_assert(!targetAt(cluster, index)->goneAt);
        }
    }
}

// Guards against a target that stays in use after its registration left, as another writer's entry
// of its id is still there.
Test(claims, theTrueRegistrationLeavesWhileAnUnreadableOneStays)
{
    DirectCluster cluster{8, 3, 2};
    cluster.store.put(TrueKey, "x ready");
    cluster.store.put(OtherKey, Unreadable);
    cluster.time.run(5s);
    cluster.store.erase(TrueKey);
    cluster.time.run(3s);
    expectPlacedBy(cluster, "", "the target has left");
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cr_assert(targetAt(cluster, index)->goneAt.has_value());
}

// Guards against open flows that are sent elsewhere, as another writer overwrites the registration
// of a live target with one for a service that doesn't exist.
Test(claims, aServiceThatIsNotDeclaredTakesOnlyTheTargetOutOfUse)
{
    DirectCluster cluster{8, 3, 3};
    cluster.store.put(TrueKey, "x ready");
    cluster.time.run(5s);
    cluster.store.put(TrueKey, "nonesuch ready");
    cluster.time.run(3s);
    expectPlacedBy(cluster, "", "overwritten");
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cr_assert_eq(targetAt(cluster, index)->entry.service, serviceId("x", "x"));
    cluster.store.put(TrueKey, "x ready");
    cluster.time.run(3s);
    expectPlacedBy(cluster, "7", "registered again");
}

// Guards against a live target whose flows are sent elsewhere, as a complete entry of another
// writer names its digits: only the way in which the names of targets are written tells which is
// the target's.
Test(claims, theNameThatIsWrittenLikeTheOthersOwnsItsId)
{
    for (const bool otherFirst : {false, true}) {
        for (const std::string other : {"targets/7", "targets/07", "targets/7t", "targets/7-T"}) {
            DirectCluster cluster{8, 3, 4};
            for (const std::string key : {"targets/1-t", "targets/2-t", "targets/3-t"})
                cluster.store.put(key, "x ready");
            cluster.store.put(otherFirst ? other : "targets/7-t", "x ready");
            cluster.time.run(5s);
            cluster.store.put(otherFirst ? "targets/7-t" : other, "x ready");
            cluster.time.run(3s);
            expectPlacedBy(cluster, "7-t", other);
            cluster.kill(5);
            cluster.start(5);
            cluster.time.run(3s);
            expectPlacedBy(cluster, "7-t", other + ", after a restart");
            cluster.store.erase(other);
            cluster.time.run(3s);
            expectPlacedBy(cluster, "7-t", other + " was removed");
        }
    }
}

// Guards against daemons that disagree about which registration owns an id, by the order in which
// they learnt of them: changes one by one, several in one answer, or a whole copy after a start.
Test(claims, daemonsDecideAlikeWhateverTheOrder)
{
    const std::array<std::string, 4> keys{TrueKey, OtherKey, "targets/07", "targets/7-b"};
    const std::array<std::string, 4> values{"x ready", "nonesuch ready", Unreadable, ""};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Random random{seed};
        const auto draw = [&random](std::size_t most) {
            return boost::random::uniform_int_distribution<std::size_t>{0, most}(random);
        };
        DirectCluster cluster{5, 1, seed};
        cluster.time.run(5s);
        for (int step = 0; step < 8; ++step) {
            for (std::size_t changes = 1 + draw(2); changes > 0; --changes) {
                const std::string &key = keys.at(draw(keys.size() - 1));
                const std::string &value = values.at(draw(values.size() - 1));
                if (value.empty())
                    cluster.store.erase(key);
                else
                    cluster.store.put(key, value);
            }
            cluster.time.run(2s);
            cluster.kill(step % cluster.size());
            cluster.start(step % cluster.size());
            cluster.time.run(4s);
            const std::string expected = placedBy(cluster, step % cluster.size());
            expectPlacedBy(cluster, expected, "seed " + std::to_string(seed));
        }
    }
}
