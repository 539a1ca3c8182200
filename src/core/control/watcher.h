#pragma once

#include "core/config/log_reader.h"
#include "core/config/snapshot_writer.h"
#include "core/control/context.h"
#include "core/membership/swim.h"

#include <optional>

namespace baobabtrail {

/// \brief Reads the log and the VM list from the platform: for the whole failure domain if this
/// daemon is one of its watchers, otherwise only at startup or when its configuration is not
/// confirmed by anyone.
class Watcher
{
public:
    using Age = std::function<Duration()>;

    /// \param age Returns the time since the configuration in force was last confirmed as the
    /// newest.
    Watcher(ControlContext &context, ConfigLog &log, LogReader &reader, Swim &swim, Age age);

    void start();
    /// \return Rank among the watchers of the domain, or nullopt if not a watcher.
    [[nodiscard]] std::optional<std::size_t> rank() const;
    /// \return Whether this daemon has appeared in the VM list; until then the list may also lack
    /// others.
    [[nodiscard]] bool listed() const noexcept { return m_listed; }

private:
    void readAtStart();
    void startWatch();
    void onWatchReply(std::uint64_t epoch, TimePoint startedAt, const PlatformResult &result);
    void applyWatchReply(const ObjectList &list, TimePoint startedAt);
    void replaceStalledWatch(std::uint64_t replies);
    void listPeriodically();
    void readLog();
    [[nodiscard]] bool shouldReadLog();
    void pollVms();
    [[nodiscard]] Duration vmPollDelay();
    void compareWithRemote();
    void snapshotPeriodically();

    ControlContext &m_context;
    ConfigLog &m_log;
    LogReader &m_reader;
    Swim &m_swim;
    Age m_age;
    SnapshotWriter m_snapshots;
    Backoff m_startBackoff{200ms, 3s};
    Backoff m_watchBackoff{200ms, 3s};
    Backoff m_vmBackoff{1s, 10s};
    Backoff m_discoveryBackoff{400ms, 10s};
    ObjectVersion m_version; ///< Newest version that a list or watch returned.
    std::uint64_t m_watchEpoch = 0;
    std::uint64_t m_watchReplies = 0;
    std::optional<TimePoint> m_readNotBefore;
    bool m_watching = false;
    bool m_listed = false;
    std::uint64_t m_remoteTicks = 0;
};

} // namespace baobabtrail
