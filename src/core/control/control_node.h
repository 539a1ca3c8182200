#pragma once

#include "core/control/actions.h"
#include "core/control/events.h"
#include "core/messages/records.h"
#include "core/time.h"
#include "core/traffic/settings.h"

#include <memory>
#include <optional>
#include <vector>

namespace baobabtrail {

/// \brief Bounds and times of the control side.
struct ControlSettings
{
    Duration pingPeriod = 1s;
    Duration pingTimeout = 300ms;
    Duration suspicion = 4s; ///< From the first missed ping to the removal from the view.
    Duration antiEntropyPeriod = 5s;
    Duration vmListPeriod = 10s;
    Duration watchWait = 20s; ///< Longest wait of one watch at the platform.
    std::size_t watchersPerDomain = 2;
    std::size_t noticeFanOut = 4; ///< Peers that hear of a new revision at once.
    Duration addressQuarantine = 10min;
    std::size_t snapshotEvery = 256; ///< Records between two snapshots.
    std::vector<Endpoint> seeds;     ///< Peer addresses to try before any list is known.
};

/// \brief All decisions of one daemon about configuration, its distribution and membership.
///
/// Holds no socket, clock, thread or global.
class ControlNode
{
public:
    ControlNode(NodeIdentity identity, ControlSettings settings, std::uint64_t seed);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// \brief Starts pinging, fetching and watching; publishes the empty configuration and a view
    /// with this daemon alone.
    void start(TimePoint now, ControlActions &out);
    /// \param unixNow Wall clock, only for the times that records carry.
    void handle(ControlEvent event, TimePoint now, std::chrono::sys_seconds unixNow,
                ControlActions &out);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

    /// \brief Answers a peer's request over HTTP.
    [[nodiscard]] RecordsMessage serve(const RecordsMessage &request, TimePoint now) const;

    [[nodiscard]] ConfigPtr config() const noexcept;
    [[nodiscard]] ViewPtr view() const noexcept;
    [[nodiscard]] DomainStatus status(TimePoint now) const;
    /// \return Whether the platform's list of VMs has shown this daemon. Until then its view may
    /// lack others that the lagging list doesn't show either.
    [[nodiscard]] bool listed() const noexcept;
    /// \return Records that are kept, oldest first, for queries about a change's fate.
    [[nodiscard]] std::vector<ChangeRecord> recentChanges() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
