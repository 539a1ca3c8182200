/// \file
/// \brief What is promised of changes, checked every few milliseconds through random faults.

#include "support/cluster_checks.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

/// A change has to be in force this long after it was made.
constexpr Duration InForceAfter = 3s;
/// That holds for daemons that have run, and for a store that has answered, for this long.
constexpr Duration StableFor = 4s;
/// Neither a source nor the store may keep a daemon's copies up to date for this long at most.
constexpr Duration MaxUncovered = 1s;
constexpr Duration CheckInterval = 20ms;
constexpr std::size_t Daemons = 8;
constexpr std::size_t Roots = 3;

/// \brief A cluster, and since when the promise holds for each daemon.
class Watched
{
public:
    explicit Watched(std::uint64_t seed)
        : cluster{Daemons, Roots, seed}
        , m_random{seed}
        , m_steadySince(Daemons, cluster.time.now())
        , m_coveredAt(Daemons, cluster.time.now())
        , m_seed(seed)
    {
        change();
        run(10s);
    }

    [[nodiscard]] int draw(int most)
    {
        return boost::random::uniform_int_distribution<int>{0, most}(m_random);
    }

    void change()
    {
        addTarget(cluster, 1, draw(1) == 0 ? "x ready" : "x draining");
        m_changes.emplace_back(cluster.time.now(), cluster.store.revision());
    }

    void freeze(std::size_t index)
    {
        cluster.freeze(index, std::chrono::milliseconds{500 + draw(5000)});
    }

    /// \brief Ends a fault, or begins one, of the store.
    void setStore(bool down, bool silent)
    {
        if (silent && !cluster.store.silent)
            cluster.store.goSilent();
        if (down && !cluster.store.down)
            cluster.store.goDown();
        cluster.store.down = down;
        cluster.store.silent = silent;
    }

    void setRandomRoots(std::size_t index)
    {
        std::vector<Endpoint> roots;
        for (int count = draw(3); count > 0; --count)
            roots.push_back(DirectCluster::addressOf(static_cast<std::size_t>(draw(Daemons - 1))));
        cluster.setRoots(index, roots);
    }

    void run(Duration span)
    {
        for (Duration passed{0}; passed < span; passed += CheckInterval) {
            cluster.time.run(CheckInterval);
            check();
        }
    }

    DirectCluster cluster;

private:
    void check()
    {
        const TimePoint now = cluster.time.now();
        if (cluster.store.down || cluster.store.silent)
            m_storeStableSince = now;
        for (std::size_t index = 0; index < Daemons; ++index) {
            const bool runs = cluster.node(index) && !cluster.frozen(index);
            if (!runs || !cluster.node(index)->ready())
                m_steadySince[index] = m_coveredAt[index] = now;
            else
                check(index, now);
        }
    }

    void check(std::size_t index, TimePoint now)
    {
        DirectNode &node = *cluster.node(index);
        if (node.isRoot() || node.readsStore() || node.peers().hasSource())
            m_coveredAt[index] = now;
        cr_assert(now - m_coveredAt[index] <= MaxUncovered, "seed %lu, daemon %zu", m_seed, index);
        if (now - std::max(m_steadySince[index], m_storeStableSince) < StableFor)
            return;
        std::uint64_t due = 0;
        for (const auto &[madeAt, revision] : m_changes) {
            if (now - madeAt >= InForceAfter)
                due = revision;
        }
        cr_assert_geq(node.version().value(), due, "seed %lu, daemon %zu", m_seed, index);
    }

    Random m_random;
    std::vector<TimePoint> m_steadySince; ///< By daemon; when it last stalled or was not ready.
    std::vector<TimePoint> m_coveredAt;   ///< By daemon; when it last had a source or the store.
    TimePoint m_storeStableSince{};
    std::vector<std::pair<TimePoint, std::uint64_t>> m_changes;
    std::uint64_t m_seed;
};

} // namespace

// Random stalls, deaths, outages, reloads with other roots and moves of the store. Guards against
// daemons that have neither a source nor the store, and against changes that come into force too
// late for callers, whatever state a daemon was in before.
Test(inForce, everyDaemonFollowsChangesInTimeThroughRandomFaults)
{
    constexpr std::uint64_t seeds = 150;
    constexpr int steps = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Watched watched{seed};
        for (int step = 0; step < steps; ++step) {
            const auto victim = static_cast<std::size_t>(watched.draw(Daemons - 1));
            DirectCluster &cluster = watched.cluster;
            const bool alive = cluster.node(victim) && !cluster.frozen(victim);
            switch (watched.draw(9)) {
            case 0:
                if (cluster.node(victim))
                    watched.freeze(victim);
                break;
            case 1:
                for (std::size_t index = 0; index < Daemons; ++index)
                    watched.freeze(index);
                break;
            case 2:
                cluster.kill(victim);
                break;
            case 3:
                if (!cluster.node(victim))
                    cluster.start(victim);
                break;
            case 4:
                watched.setStore(watched.draw(1) == 0, watched.draw(1) == 0);
                break;
            case 5:
                watched.setStore(false, false);
                break;
            case 6:
                if (alive)
                    watched.setRandomRoots(victim);
                break;
            case 7:
                if (alive)
                    cluster.moveStore(victim);
                break;
            default:
                watched.change();
                break;
            }
            watched.run(std::chrono::milliseconds{watched.draw(3000)});
        }
    }
}
