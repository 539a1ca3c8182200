#pragma once

#include "core/config/config_log.h"
#include "core/control/context.h"
#include "core/messages/platform.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief The log was read to its end.
struct LogReadDone
{
    ObjectVersion latest; ///< Watches begin behind this version.
};
/// \brief The platform gave no answer.
struct LogUnreachable
{
    std::string what;
    Duration retryAfter{0};
};
/// \brief The log can't be applied past some record.
struct LogBroken
{
    Finding finding;
};
using LogReadResult = std::variant<LogReadDone, LogUnreachable, LogBroken>;

/// \brief Reads from the platform what a ConfigLog lacks: records after its revision, or the
/// newest complete snapshot where the log no longer reaches back that far.
class LogReader
{
public:
    using Done = std::function<void(const LogReadResult &)>;

    LogReader(ControlContext &context, ConfigLog &log)
        : m_context(context)
        , m_log(log)
    {
    }

    /// \brief Reads to the end; callers that come while it runs share the result.
    void catchUp(Done done);
    /// \brief Takes records that came by a watch. \return Whether some in between are missing.
    [[nodiscard]] bool applyWatched(const ObjectList &list);
    /// \brief Takes one record and tells of a bad one, loudly but seldom.
    AppendResult append(Revision key, const std::string &text);
    /// \return When the platform last showed that nothing newer exists.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }

private:
    void listLog();
    void onLog(const ObjectList &list);
    void readMissing();
    void listSnapshots(const std::string &after, std::vector<StoredObject> found);
    void onSnapshots(const std::vector<StoredObject> &objects);
    void finish(const LogReadResult &result);
    void reportInvalid(const Finding &finding);

    ControlContext &m_context;
    ConfigLog &m_log;
    std::vector<Done> m_waiting;
    TimePoint m_startedAt{};
    std::optional<TimePoint> m_confirmedAt;
    Revision m_invalidRevision;
    std::optional<TimePoint> m_invalidReportedAt;
};

/// \brief One snapshot as found at the platform.
struct StoredSnapshot
{
    Revision revision;
    std::vector<std::string> shards;
};

/// \return Snapshots whose manifest and shards are all there and match, oldest first.
[[nodiscard]] std::vector<StoredSnapshot>
completeSnapshots(const std::vector<StoredObject> &objects);

} // namespace baobabtrail
