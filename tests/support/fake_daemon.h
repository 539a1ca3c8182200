#pragma once

#include "core/traffic/traffic_node.h"

#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail::fake {

/// \brief Steps of a flow or request at which a fault can be injected.
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

/// \brief Loss, duplication and delay of datagrams.
struct NetworkConditions
{
    double loss = 0;
    double duplicate = 0;
    Duration delay = 500us;
    Duration jitter = 50us;
};

/// \brief State of a daemon in FakeNetwork.
struct FakeDaemon
{
    NodeIdentity identity;
    std::unique_ptr<TrafficNode> node;
    ConfigPtr config;
    ViewPtr view;
    TimePoint viewAt{}; ///< When its newest view arrives; views arrive in order.
    bool alive = true;
    bool inFabric = true;
    bool frozen = false;
    std::vector<TrafficEvent> held; ///< What arrived while it was frozen.
    std::optional<TimePoint> stoppedAt;
    std::optional<TimePoint> timer;
    std::uint64_t timersAtOnce = 0;
};

} // namespace baobabtrail::fake
