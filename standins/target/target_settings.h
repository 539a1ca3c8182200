#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>

namespace baobabtrail::standins {

/// \brief Who a target is and how it behaves.
struct TargetSettings
{
    ServiceId service;
    TargetId target;
    std::string name;
    Endpoint uplink; ///< The fabric's port for targets.
    std::uint32_t slots = 2;
    std::uint32_t maxQueue = 4; ///< Beyond it a dispatch is shed.
    std::uint32_t maxFlows = 4000;
    Duration serviceTime = 20ms;
    bool exponentialService = true;
    Duration coldFor{0}; ///< While it lasts, service takes ColdFactor times as long.
    Duration reportLag{0};
    double reportFactor = 1.0; ///< What is reported is multiplied by it.
    Duration pushPeriod = 1s;  ///< Between two messages pushed on a flow; 0 for none.
    std::size_t answerBytes = 3000;
    std::uint64_t seed = 1;
};

inline constexpr int ColdFactor = 5;

} // namespace baobabtrail::standins
