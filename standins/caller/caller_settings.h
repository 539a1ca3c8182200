#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/messages/request.h"
#include "core/time.h"

#include <cstdint>

namespace baobabtrail::standins {

/// \brief Traffic that a caller generates.
struct CallerSettings
{
    Endpoint fabric;
    ServiceId service;
    std::uint32_t feeds = 0;
    double requestsPerSecond = 0;
    std::uint64_t maxRequests = 0; ///< Maximum number of requests in total.
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false;
    Duration deadline = 3s;
    std::size_t payloadBytes = 200;
    Duration keepAlivePeriod = 1s;
    Duration dataPeriod = 1s;       ///< Time between messages on a feed.
    std::uint32_t silentLimit = 10; ///< Unanswered keep-alives after which a feed is reopened.
    double loss = 0;                ///< Drop probability of each received datagram.
    std::uint64_t seed = 1;
};

} // namespace baobabtrail::standins
