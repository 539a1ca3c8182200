#include "daemon/log/log.h"

#include "daemon/log/line_output.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>

#include <array>
#include <csignal>
#include <memory>
#include <string>

#include <unistd.h>

namespace baobabtrail::daemon {

namespace {

namespace logging = boost::log;

constexpr std::size_t MaxQueuedLines = 1000;

using Queue = logging::sinks::bounded_fifo_queue<MaxQueuedLines, logging::sinks::drop_on_overflow>;
using Frontend = logging::sinks::asynchronous_sink<LineOutput, Queue>;
using Logger = logging::sources::severity_logger<Severity>;

[[nodiscard]] Logger &logger()
{
    static Logger instance;
    return instance;
}

/// \brief Formats a record as one line with a JSON object.
void format(const logging::record_view &record, logging::formatting_ostream &out)
{
    const auto time = record["TimeStamp"].extract<boost::posix_time::ptime>();
    out << R"({"time":")";
    if (time)
        out << boost::posix_time::to_iso_extended_string(time.get()) << 'Z';
    out << "\"," << record["Message"].extract<std::string>() << '}';
}

} // namespace

struct LogSession::Sink
{
    boost::shared_ptr<LineOutput> output;
    boost::shared_ptr<Frontend> frontend;
};

LogSession::LogSession(Severity level)
    : m_sink(std::make_unique<Sink>())
{
    // Without this, a write after the log's reader has exited would kill the daemon. Now the write
    // fails and only the line is lost.
    std::signal(SIGPIPE, SIG_IGN);
    m_sink->output = boost::make_shared<LineOutput>(STDOUT_FILENO);
    m_sink->frontend = boost::make_shared<Frontend>(m_sink->output);
    m_sink->frontend->set_formatter(&format);

    const auto core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock{});
    core->set_filter([level](const logging::attribute_value_set &values) {
        const auto severity = values["Severity"].extract<Severity>();
        return severity && severity.get() >= level;
    });
    core->add_sink(m_sink->frontend);
}

LogSession::~LogSession()
{
    logging::core::get()->remove_sink(m_sink->frontend);
    m_sink->output->startShutdown();
    m_sink->frontend->stop();
    m_sink->frontend->flush();
}

void writeEvent(const LogEvent &event)
{
    BOOST_LOG_SEV(logger(), event.severity()) << event.members();
}

void logLine(Severity severity, Part part, std::string_view text)
{
    writeEvent(LogEvent{severity, part, text});
}

bool NoticeLog::write(const Notice &notice, const Config &config, TimePoint now)
{
    const auto leftOut = m_limiter.admit(notice.part, notice.text, now);
    if (!leftOut)
        return false;

    LogEvent line{notice.severity, notice.part, notice.text};
    // Workspaces are called tenants in log fields.
    if (const ServiceConfig *service = config.service(notice.service))
        line.field("tenant", service->workspace).field("service", service->name);
    if (!notice.change.empty())
        line.field("change", notice.change);
    if (*leftOut > 0)
        line.field("left_out", *leftOut);
    writeEvent(line);
    return true;
}

} // namespace baobabtrail::daemon
