#pragma once

#include "core/config/config.h"
#include "core/notice.h"
#include "daemon/log/log_event.h"
#include "daemon/log/log_limiter.h"

#include <memory>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Sends lines to standard output from a thread of its own, for as long as it lives.
///
/// A reader of standard output that has stopped must not stop forwarding: lines wait in a bounded
/// queue, and those that find it full are dropped. Nor may one that is gone end the process:
/// SIGPIPE is ignored from then on.
class LogSession
{
public:
    explicit LogSession(Severity level);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

private:
    struct Sink;
    std::unique_ptr<Sink> m_sink;
};

/// \brief Writes an event that has no fields, as "revision 7 is in force" of the part config.
void logLine(Severity severity, Part part, std::string_view text);

/// \brief Writes the notices of the core, bounded by kind, with the names of what they concern.
class NoticeLog
{
public:
    explicit NoticeLog(std::uint32_t linesPerSecond) noexcept
        : m_limiter(linesPerSecond)
    {
    }

    /// \param config Names the notice's service.
    /// \return Whether the line was written.
    bool write(const Notice &notice, const Config &config, TimePoint now);

private:
    LogLimiter m_limiter;
};

} // namespace baobabtrail::daemon
