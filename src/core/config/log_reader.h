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
    ObjectVersion latest; ///< Store version at the end of the log; a watch starts after it.
};
/// \brief The platform did not answer or reported a failure.
struct LogUnreachable
{
    std::string what;
    Duration retryAfter{0}; ///< Wait that the platform asked for; 0 if none.
};
/// \brief A record is invalid or missing, so that nothing after it can be applied.
struct LogBroken
{
    Finding finding;
};
using LogReadResult = std::variant<LogReadDone, LogUnreachable, LogBroken>;

/// \brief Reads from the platform what a ConfigLog lacks: the records after its revision, or the
/// newest complete snapshot if the next records have been deleted.
class LogReader
{
public:
    using Done = std::function<void(const LogReadResult &)>;

    LogReader(ControlContext &context, ConfigLog &log)
        : m_context(context)
        , m_log(log)
    {
    }

    /// \brief Reads to the end of the log. Calls made while a read is under way share its result.
    void catchUp(Done done);
    /// \brief Applies records that a watch delivered.
    /// \return Whether records in between are missing.
    [[nodiscard]] bool applyWatched(const ObjectList &list);
    /// \brief Applies one record. An invalid one is logged as an error, at a limited rate.
    AppendResult append(Revision key, const std::string &text);
    /// \return When the last list call that reached the end of the log was sent: the
    /// configuration was current then.
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

/// \brief A snapshot as stored on the platform.
struct StoredSnapshot
{
    Revision revision;
    std::vector<std::string> shards;
};

/// \return Snapshots whose manifest and shards are all present and match, oldest first.
[[nodiscard]] std::vector<StoredSnapshot>
completeSnapshots(const std::vector<StoredObject> &objects);

} // namespace baobabtrail
