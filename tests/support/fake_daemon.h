#pragma once

#include "core/traffic/traffic_node.h"

#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail::fake {

/// \brief Moments in the life of a flow or request at which a fault can strike.
enum class Step {
    Open,
    Established,
    Reservation,
    Dispatch,
    Running,
    Answer,
    Retransmission,
    Drain,
    Stop,
};

/// \brief What the network does to datagrams at the moment.
struct NetworkConditions
{
    double loss = 0;
    double duplicate = 0;
    Duration delay = 500us;
    Duration jitter = 50us;
};

/// \brief A daemon as the fake network runs it.
struct FakeDaemon
{
    NodeIdentity identity;
    std::unique_ptr<TrafficNode> node;
    ConfigPtr config;
    ViewPtr view;
    TimePoint viewAt{}; ///< When its newest view arrives; none overtakes another.
    bool alive = true;
    bool inFabric = true;
    bool frozen = false;
    std::vector<TrafficEvent> held; ///< What arrived while it was frozen.
    std::optional<TimePoint> stoppedAt;
    std::optional<TimePoint> timer;
    std::uint64_t timersAtOnce = 0;
};

} // namespace baobabtrail::fake
