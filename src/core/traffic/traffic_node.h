#pragma once

#include "core/keys.h"
#include "core/random.h"
#include "core/targets/target_status.h"
#include "core/time.h"
#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "core/traffic/settings.h"

#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief Decides on all flows and requests of one daemon.
///
/// Uses no sockets, clocks, threads or globals: it is given events and the time, and returns
/// actions.
///
/// \code
/// TrafficNode node{identity, settings, keys, seed};
/// TrafficActions actions;
/// node.handle(ConfigChanged{config}, now, actions);
/// node.handle(FromCaller{caller, message}, now, actions);
/// for (const TrafficAction &action : actions) { ... }
/// \endcode
class TrafficNode
{
public:
    /// \param identity Identity of this daemon.
    /// \param settings Limits and timeouts.
    /// \param keys Keys that seal tokens; the caller of the constructor rotates them.
    /// \param seed Seed of all random choices.
    TrafficNode(NodeIdentity identity, TrafficSettings settings,
                std::shared_ptr<const KeyRing> keys, std::uint64_t seed);
    ~TrafficNode();
    TrafficNode(const TrafficNode &) = delete;
    TrafficNode &operator=(const TrafficNode &) = delete;

    /// \brief Handles one event.
    /// \param event The event.
    /// \param now Time at which it is handled.
    /// \param out The resulting actions are appended to it.
    void handle(TrafficEvent event, TimePoint now, TrafficActions &out);

    /// \return Time of the next TimerExpired that is needed, or nothing.
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

    /// \brief Current counts, for metrics and limits.
    struct Counts
    {
        std::size_t requests = 0;
        std::size_t pendingOpens = 0;
        std::size_t ownedTargets = 0;
        std::size_t runningAttempts = 0;
    };
    [[nodiscard]] Counts counts() const noexcept;

    /// \brief Status of the owned targets, for operators' queries.
    [[nodiscard]] std::vector<TargetStatus> targetStatus(TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
