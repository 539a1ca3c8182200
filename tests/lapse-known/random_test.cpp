#include "support/cluster_checks.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::uint64_t Living = 1;

/// \brief A target that stays alive. Its registration expires while the store is unavailable, and
/// is back within two seconds of the store's return.
class LivingTarget
{
public:
    LivingTarget(DirectCluster &cluster, Random &random)
        : m_cluster(cluster)
        , m_random(random)
    {
        addTarget(cluster, Living);
    }

    void loseStore()
    {
        m_cluster.store.goDown();
        const auto outage = ++m_outage;
        m_cluster.time.after(draw(4000), [this, outage] {
            if (outage == m_outage)
                m_cluster.store.erase(DirectCluster::targetKey(Living));
        });
    }

    void restoreStore()
    {
        m_cluster.store.down = false;
        const auto outage = ++m_outage;
        m_cluster.time.after(draw(2000), [this, outage] {
            if (outage == m_outage && !m_cluster.store.has(DirectCluster::targetKey(Living)))
                addTarget(m_cluster, Living);
        });
    }

private:
    Duration draw(int most)
    {
        return std::chrono::milliseconds{
            boost::random::uniform_int_distribution<int>{0, most}(m_random)};
    }

    DirectCluster &m_cluster;
    Random &m_random;
    std::uint64_t m_outage = 0; ///< Counts losses and returns of the store.
};

} // namespace

// Guards against ending open flows of a live target that is reported as gone, whatever faults come
// together with outages of the store.
Test(lapse, randomFaultsNeverTakeALivingTargetForGone)
{
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::size_t reportedGone = 0; // Reports of all daemons, repeated ones included.
        DirectCluster cluster{9, 3, seed, [&](std::size_t, DirectCallbacks &ports) {
                                  ports.observer.stateChanged
                                      = [&](const TargetStateChange &change) {
                                            reportedGone += change.state == DirectTargetState::Gone;
                                        };
                              }};
        Random random{seed};
        const auto draw = [&](int most) {
            return boost::random::uniform_int_distribution<int>{0, most}(random);
        };
        LivingTarget target{cluster, random};
        cluster.time.run(10s);
        for (int step = 0; step < 100; ++step) {
            const auto victim = static_cast<std::size_t>(draw(8));
            switch (draw(9)) {
            case 0:
                cluster.kill(victim);
                cluster.start(victim);
                break;
            case 1:
                cluster.freeze(victim, std::chrono::milliseconds{500 + draw(6000)});
                break;
            case 2:
            case 3:
            case 4:
                if (cluster.store.down)
                    target.restoreStore();
                else
                    target.loseStore();
                break;
            case 5:
                cluster.store.compact();
                break;
            case 6:
                cluster.store.refused = {static_cast<int>(victim), draw(8), draw(8)};
                break;
            case 7:
                cluster.cutFromPeers = {victim, static_cast<std::size_t>(draw(8))};
                break;
            default:
                cluster.store.refused.clear();
                cluster.cutFromPeers.clear();
                break;
            }
            cluster.time.run(std::chrono::milliseconds{draw(1500)});
        }
        cr_assert_eq(reportedGone, 0U, "seed %lu: %zu times", seed, reportedGone);
    }
}
