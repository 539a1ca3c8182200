#pragma once

#include "support/direct_cluster.h"

namespace baobabtrail::test {

/// \brief Faults that random tests of a DirectCluster have in common, by the number drawn.
enum class CommonFault {
    Restart,
    Freeze,
    StoreDown,
    StoreSilent,
    MutedWatches,
    Compaction,
    Refusals
};
inline constexpr int CommonFaults = 7;

/// \brief Strikes with a common fault, or ends it where it is one of the store's.
/// \param draw Returns a random number from 0 to its argument.
template <typename Draw>
void strike(DirectCluster &cluster, CommonFault fault, std::size_t victim, const Draw &draw)
{
    const int others = static_cast<int>(cluster.size()) - 1;
    switch (fault) {
    case CommonFault::Restart:
        cluster.kill(victim);
        cluster.start(victim);
        return;
    case CommonFault::Freeze:
        cluster.freeze(victim, std::chrono::milliseconds{500 + draw(6000)});
        return;
    case CommonFault::StoreDown:
        cluster.store.down = !cluster.store.down;
        return;
    case CommonFault::StoreSilent:
        cluster.store.silent = !cluster.store.silent;
        return;
    case CommonFault::MutedWatches:
        cluster.store.muteWatches();
        return;
    case CommonFault::Compaction:
        cluster.store.compact();
        return;
    case CommonFault::Refusals:
        cluster.store.refused = {static_cast<int>(victim), draw(others), draw(others)};
        return;
    }
}

} // namespace baobabtrail::test
