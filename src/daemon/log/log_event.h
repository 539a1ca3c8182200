#pragma once

#include "core/endpoint.h"
#include "core/notice.h"
#include "core/time.h"

#include <concepts>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief A structured log event: severity, part, name, and typed fields.
///
/// \code
/// LogEvent event{Severity::Info, Part::Flows, "placed"};
/// event.field("target", name).field("view_age_ms", age);
/// writeEvent(event);
/// \endcode
class LogEvent
{
public:
    /// \param part The subsystem that the event belongs to.
    /// \param name What happened, in one or a few words.
    LogEvent(Severity severity, Part part, std::string_view name);

    LogEvent &field(std::string_view name, std::string_view value);
    LogEvent &field(std::string_view name, const char *value)
    {
        return field(name, std::string_view{value});
    }
    LogEvent &field(std::string_view name, const Endpoint &value)
    {
        return field(name, std::string_view{toString(value)});
    }
    LogEvent &field(std::string_view name, bool value);
    LogEvent &field(std::string_view name, double value);
    /// \brief Adds a duration in milliseconds; \a name should end with "_ms".
    LogEvent &field(std::string_view name, Duration value)
    {
        return field(name, std::chrono::duration<double, std::milli>(value).count());
    }
    template <std::integral Number>
    requires(!std::same_as<Number, bool>) LogEvent &field(std::string_view name, Number value)
    {
        return raw(name, std::to_string(value));
    }

    [[nodiscard]] Severity severity() const noexcept { return m_severity; }
    /// \return The members of a JSON object, without its braces.
    [[nodiscard]] const std::string &members() const noexcept { return m_members; }

private:
    /// \param value Valid JSON.
    LogEvent &raw(std::string_view name, std::string_view value);

    Severity m_severity;
    std::string m_members;
};

/// \brief Writes an event to the log. Never blocks: if the log's reader has stopped, lines are
/// dropped and forwarding continues.
void writeEvent(const LogEvent &event);

} // namespace baobabtrail::daemon
