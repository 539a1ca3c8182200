#pragma once

#include "core/config/config.h"
#include "core/notice.h"
#include "daemon/log/log_event.h"
#include "daemon/log/log_limiter.h"

#include <memory>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Writes log lines to standard output from its own thread, for as long as it lives.
///
/// A reader of standard output that has stopped reading must not block forwarding: lines are queued
/// in a bounded queue and dropped when it is full. A reader that has exited must not end the
/// process: SIGPIPE is ignored from the construction on.
class LogSession
{
public:
    /// \param level Events below this severity are discarded.
    explicit LogSession(Severity level);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

private:
    struct Sink;
    std::unique_ptr<Sink> m_sink;
};

/// \brief Writes an event without fields, for example "revision 7 is in force" of the part config.
void logLine(Severity severity, Part part, std::string_view text);

/// \brief Logs notices of the core with the names of the objects that they concern, with a rate
/// limit for each kind of notice.
class NoticeLog
{
public:
    explicit NoticeLog(std::uint32_t linesPerSecond) noexcept
        : m_limiter(linesPerSecond)
    {
    }

    /// \param config Used to look up the names of the notice's service and workspace.
    /// \return Whether the notice was written; false if the rate limit suppressed it.
    bool write(const Notice &notice, const Config &config, TimePoint now);

private:
    LogLimiter m_limiter;
};

} // namespace baobabtrail::daemon
