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

/// \brief Limits and timeouts of a ControlNode.
struct ControlSettings
{
    Duration pingPeriod = 1s;
    Duration pingTimeout = 300ms;
    Duration suspicion = 4s; ///< Time from the first missed ping to the removal from the view.
    Duration antiEntropyPeriod = 5s;
    Duration vmListPeriod = 10s;
    Duration watchWait = 20s; ///< Timeout of one watch at the platform.
    std::size_t watchersPerDomain = 2;
    std::size_t noticeFanOut = 4; ///< Random peers that are notified of a new revision at once.
    Duration addressQuarantine = 10min;
    std::size_t snapshotEvery = 256; ///< Log records between two snapshots.
    std::vector<Endpoint> seeds;     ///< Peer addresses to contact before any VM list is known.
};

/// \brief The control plane of one daemon: configuration, its distribution, and membership.
///
/// A state machine without I/O: it owns no socket, clock, thread or global state.
class ControlNode
{
public:
    ControlNode(NodeIdentity identity, ControlSettings settings, std::uint64_t seed);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// \brief Starts pinging, fetching and watching; publishes the empty configuration and a view
    /// that holds only this daemon.
    void start(TimePoint now, ControlActions &out);
    /// \param unixNow Wall clock time, used only for the timestamps in records.
    void handle(ControlEvent event, TimePoint now, std::chrono::sys_seconds unixNow,
                ControlActions &out);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;

    /// \brief Answers a peer's request over HTTP.
    [[nodiscard]] RecordsMessage serve(const RecordsMessage &request, TimePoint now) const;

    [[nodiscard]] ConfigPtr config() const noexcept;
    [[nodiscard]] ViewPtr view() const noexcept;
    [[nodiscard]] DomainStatus status(TimePoint now) const;
    /// \return Whether this daemon has appeared in the platform's VM list. Until then its view may
    /// also lack other daemons, since the list lags behind.
    [[nodiscard]] bool listed() const noexcept;
    /// \return The retained records, oldest first, to look up what became of a change.
    [[nodiscard]] std::vector<ChangeRecord> recentChanges() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace baobabtrail
