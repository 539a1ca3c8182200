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

/// \brief All decisions of one daemon about flows and requests.
///
/// Holds no socket, clock, thread or global: events and the time go in, actions come out.
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
    /// \param identity Who this daemon is.
    /// \param settings Bounds and times.
    /// \param keys Shared with the caller of the constructor, who rotates them.
    /// \param seed Seed of every random choice.
    TrafficNode(NodeIdentity identity, TrafficSettings settings,
                std::shared_ptr<const KeyRing> keys, std::uint64_t seed);
    ~TrafficNode();
    TrafficNode(const TrafficNode &) = delete;
    TrafficNode &operator=(const TrafficNode &) = delete;

    /// \brief Handles one event.
    /// \param event What happened. \param now When. \param out Actions are added at its end.
    void handle(TrafficEvent event, TimePoint now, TrafficActions &out);

    /// \return When TimerExpired is wanted next, or nothing.
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

    /// \brief Counts of what the node holds now, for metrics and bounds.
    struct Counts
    {
        std::size_t requests = 0;
        std::size_t pendingOpens = 0;
        std::size_t ownedTargets = 0;
        std::size_t runningAttempts = 0;
    };
    [[nodiscard]] Counts counts() const noexcept;

    /// \brief What the node knows of the targets that it owns, for queries.
    [[nodiscard]] std::vector<TargetStatus> targetStatus(TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
