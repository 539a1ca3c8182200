#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace baobabtrail::bench {

/// \brief One service of a deployment and the load on it.
struct ServicePlan
{
    std::string name;
    std::string requestClass;
    std::size_t targets = 0;
    unsigned slots = 1;
    unsigned connectionsPerTarget = 0;
    double load = 0.7; ///< Offered load over the targets' capacity.
};

/// \brief One user's deployment at full size.
struct DeploymentPlan
{
    std::string workspace;
    std::vector<std::string> domains;
    std::vector<ServicePlan> services; ///< The main service comes first.
    std::size_t daemons = 8;
};

/// \brief Settings that all runs share.
struct RunPlan
{
    std::chrono::seconds traffic{40};
    std::chrono::microseconds serviceTime{40000};
    std::chrono::milliseconds keepAlive{5000};
    double scale = 1.0; ///< Factor for the connections; request rates depend on the slots.
};

[[nodiscard]] inline DeploymentPlan alexandria()
{
    return {"alexandria",
            {"alx-raml", "alx-smouha", "alx-agami"},
            {{"lending", "normal", 14, 2, 2000, 0.7}, {"catalogue", "bulk", 4, 2, 2000, 0.5}}};
}

[[nodiscard]] inline DeploymentPlan vitiLevu()
{
    return {"vitilevu",
            {"suva-depot", "nadi-yard", "lautoka-office"},
            {{"boarding", "urgent", 14, 3, 2000, 0.7}, {"refunds", "bulk", 4, 3, 2000, 0.5}}};
}

} // namespace baobabtrail::bench
