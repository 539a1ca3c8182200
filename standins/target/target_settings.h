#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>

namespace baobabtrail::standins {

/// \brief Identity and simulated behaviour of a target.
struct TargetSettings
{
    ServiceId service;
    TargetId target;
    std::string name;
    Endpoint uplink; ///< The fabric's address for targets.
    std::uint32_t slots = 2;
    std::uint32_t maxQueue = 4; ///< Requests beyond this queue length are shed.
    std::uint32_t maxFlows = 4000;
    Duration serviceTime = 20ms;
    bool exponentialService = true;
    Duration coldFor{0}; ///< Time after the start with ColdFactor times the service time.
    Duration reportLag{0};
    double reportFactor = 1.0; ///< Factor applied to the reported load.
    Duration pushPeriod = 1s;  ///< Time between messages pushed on a flow; 0 for none.
    std::size_t answerBytes = 3000;
    std::uint64_t seed = 1;
};

inline constexpr int ColdFactor = 5;

} // namespace baobabtrail::standins
