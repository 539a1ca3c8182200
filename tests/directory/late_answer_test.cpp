// Answers of the store that other daemons' news overtakes while they are on their way.

#include "support/cluster_checks.h"
#include "support/store_feed_fixture.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// \brief What the store held at each of its versions.
class StoreHistory
{
public:
    explicit StoreHistory(FakeDirectoryStore &store)
        : m_store(store)
    {
        record();
    }

    void put(const std::string &key, const std::string &value)
    {
        m_store.put(key, value);
        m_objects[key] = {key, value, ObjectVersion{m_store.revision()}};
        record();
    }
    void erase(const std::string &key)
    {
        m_store.erase(key);
        m_objects.erase(key);
        record();
    }

    /// \return What a copy of that version lacks, as a daemon with the store's state tells it.
    [[nodiscard]] CollectionChange since(ObjectVersion version) const
    {
        const auto &before = m_states.at(version);
        CollectionChange change;
        change.version = ObjectVersion{m_store.revision()};
        for (const auto &[key, object] : m_objects) {
            const auto known = before.find(key);
            if (known == before.end() || known->second != object.version)
                change.written.push_back(object);
        }
        for (const auto &[key, known] : before) {
            if (!m_objects.contains(key))
                change.removed.push_back(key);
        }
        return change;
    }
    [[nodiscard]] std::vector<StoredObject> objects() const
    {
        std::vector<StoredObject> out;
        for (const auto &[key, object] : m_objects)
            out.push_back(object);
        return out;
    }

    /// \brief Expects that the copy holds what the store held at the copy's version.
    void expectSame(const CollectionCopy &copy, const std::string &when) const
    {
        const auto &state = m_states.at(copy.version());
        for (const auto &[key, version] : state) {
            const StoredObject *object = copy.find(key);
            cr_assert(object, "%s: %s is missing at version %lu", when.c_str(), key.c_str(),
                      copy.version().value());
            cr_assert(object->version == version, "%s: %s", when.c_str(), key.c_str());
        }
        cr_assert_eq(copy.size(), state.size(), "%s: objects that are gone", when.c_str());
    }

private:
    using State = std::map<std::string, ObjectVersion>;

    void record()
    {
        State &state = m_states[ObjectVersion{m_store.revision()}];
        for (const auto &[key, object] : m_objects)
            state[key] = object.version;
    }

    FakeDirectoryStore &m_store;
    std::map<std::string, StoredObject> m_objects;
    std::map<ObjectVersion, State> m_states;
};

constexpr int Caller = StoreFeedFixture::Caller;
const std::string First = "targets/1";

/// \brief A feed whose watch waits, and what the store holds.
struct OvertakenFeed
{
    StoreFeedFixture fixture{0};
    StoreHistory history{fixture.store};

    OvertakenFeed()
    {
        history.put(First, "x ready");
        fixture.feed.start();
        fixture.time.run(50ms);
    }

    /// \brief Another daemon's news arrives.
    void overtake() { (void)fixture.copy.applyChanges(history.since(fixture.copy.version())); }
};

} // namespace

// Guards against a live target that a daemon loses for good: its registration ends and is back
// while the answer that tells of the end is on its way.
Test(lateAnswer, aRemovalThatIsUndoneRemovesNothing)
{
    OvertakenFeed late;
    late.fixture.store.heldUp = {Caller};
    late.history.erase(First);
    late.fixture.time.run(100ms);
    late.history.put(First, "x ready");
    late.overtake();
    late.fixture.store.release(Caller);
    late.fixture.time.run(10ms);
    late.history.expectSame(late.fixture.copy, "late");
    late.history.put("targets/2", "x ready");
    late.fixture.time.run(2s);
    late.history.expectSame(late.fixture.copy, "later");
}

// Guards against a target that is gone and comes back for good: its removal overtakes the answer
// that tells of its registration.
Test(lateAnswer, aWriteThatIsUndoneBringsNothingBack)
{
    OvertakenFeed late;
    late.fixture.store.heldUp = {Caller};
    late.history.put("targets/2", "x ready");
    late.fixture.time.run(100ms);
    late.history.erase("targets/2");
    late.overtake();
    late.fixture.store.release(Caller);
    late.fixture.time.run(10ms);
    late.history.expectSame(late.fixture.copy, "late");
}

// Guards against a view that counts as confirmed when its confirmation arrives, although the store
// gave it long before.
Test(lateAnswer, aConfirmationIsAsOldAsItsAnswer)
{
    OvertakenFeed late;
    const TimePoint began = late.fixture.time.now();
    late.fixture.store.heldUp = {Caller};
    late.fixture.time.run(4s);
    late.fixture.store.release(Caller);
    late.fixture.time.run(10ms);
    cr_assert_leq(*late.fixture.copy.confirmedAt() - began, StoreFeedSettings{}.watchWait);
}

// Guards against any order of late answers, lists in pages, and the news of other daemons, in steps
// or as a whole, in which a copy is not what the store held at its version.
Test(lateAnswer, aCopyIsAlwaysWhatTheStoreHeldAtItsVersion)
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        const std::string name = "seed " + std::to_string(seed);
        Random random{seed};
        const auto draw = [&random](int most) {
            return boost::random::uniform_int_distribution<int>{0, most}(random);
        };
        StoreFeedFixture fixture{0};
        StoreHistory history{fixture.store};
        fixture.feed.start();
        for (int step = 0; step < 150; ++step) {
            const std::string key = "targets/" + std::to_string(draw(5));
            switch (draw(7)) {
            case 0:
            case 1:
                history.put(key, "x ready");
                break;
            case 2:
            case 3:
                history.erase(key);
                break;
            case 4:
                if (fixture.copy.complete() && draw(1) == 0)
                    (void)fixture.copy.applyChanges(history.since(fixture.copy.version()));
                else
                    (void)fixture.copy.applySnapshot(
                        history.objects(), ObjectVersion{fixture.store.revision()}, false);
                break;
            case 5:
                fixture.store.heldUp = {Caller};
                break;
            case 6:
                fixture.store.release(Caller);
                break;
            default:
                if (draw(3) == 0)
                    fixture.store.compact();
                fixture.feed.refresh();
                break;
            }
            fixture.time.run(std::chrono::milliseconds{draw(700)});
            if (fixture.copy.complete())
                history.expectSame(fixture.copy, name);
        }
        fixture.store.release(Caller);
        fixture.time.run(8s);
        history.expectSame(fixture.copy, name + ", at the end");
        cr_assert_eq(fixture.copy.version().value(), fixture.store.revision(), "%s", name.c_str());
    }
}

// Guards against daemons that lack live targets for good: registrations end in an outage and are
// back soon after it, and the first answer to one daemon is held up while the others know already.
Test(lateAnswer, allDaemonsKnowEveryTargetAfterAnOutage)
{
    constexpr std::uint64_t targets = 6;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        DirectCluster cluster{8, 3, seed};
        Random random{seed};
        const auto draw = [&random](int most) {
            return boost::random::uniform_int_distribution<int>{0, most}(random);
        };
        for (std::uint64_t target = 1; target <= targets; ++target)
            addTarget(cluster, target);
        cluster.time.run(8s + std::chrono::milliseconds{draw(1500)});
        cluster.store.goSilent();
        cluster.time.run(4500ms);
        for (std::uint64_t target = 1; target <= targets; ++target)
            cluster.store.erase(DirectCluster::targetKey(target));
        cluster.store.silent = false;
        const int late = draw(2);
        cluster.store.heldUp = {late};
        for (std::uint64_t target = 1; target <= targets; ++target) {
            cluster.time.after(std::chrono::milliseconds{700 + draw(700)},
                               [&cluster, target] { addTarget(cluster, target); });
        }
        cluster.time.after(std::chrono::milliseconds{1000 + draw(1500)},
                           [&cluster, late] { cluster.store.release(late); });
        cluster.time.run(12s);
        for (std::uint64_t target = 1; target <= targets; ++target)
            cr_assert_eq(placing(cluster, target), cluster.size(), "seed %lu, target %lu", seed,
                         target);
    }
}
