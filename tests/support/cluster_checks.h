#pragma once

#include "support/direct_cluster.h"

#include <criterion/criterion.h>

#include <string>

namespace baobabtrail::test {

[[nodiscard]] inline bool allReady(DirectCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        if (!cluster.node(index) || !cluster.node(index)->ready())
            return false;
    }
    return true;
}

inline void expectAllFresh(DirectCluster &cluster)
{
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cr_assert(cluster.node(index)->fresh(), "daemon %zu", index);
}

/// \return Number of daemons that would place a new flow on the target.
[[nodiscard]] inline std::size_t placing(DirectCluster &cluster, std::uint64_t target)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index)
        count += cluster.node(index) && cluster.places(index, target);
    return count;
}

inline void addTarget(DirectCluster &cluster, std::uint64_t target,
                      const std::string &state = "x ready")
{
    cluster.store.put(DirectCluster::targetKey(target), state);
}

/// \return Number of ready daemons that treat the failure domain as evacuated: they place no new
/// flow there.
[[nodiscard]] inline std::size_t evacuating(DirectCluster &cluster, const std::string &domain)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        DirectNode *node = cluster.node(index);
        count += node && node->ready()
                 && node->router().targets().evacuatedDomains().contains(domain);
    }
    return count;
}

inline void evacuate(DirectCluster &cluster, const std::string &domain)
{
    cluster.store.put("evacuations/" + domain, "{}");
}
inline void restore(DirectCluster &cluster, const std::string &domain)
{
    cluster.store.erase("evacuations/" + domain);
}

} // namespace baobabtrail::test
