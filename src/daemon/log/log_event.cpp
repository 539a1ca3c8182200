#include "daemon/log/log_event.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <array>
#include <charconv>

namespace baobabtrail::daemon {

namespace {

constexpr std::array<std::string_view, 8> PartNames{
    "flows", "requests", "targets", "config", "membership", "distribution", "platform", "daemon"};
constexpr std::array<std::string_view, 4> SeverityNames{"debug", "info", "warning", "error"};

} // namespace

LogEvent::LogEvent(Severity severity, Part part, std::string_view name)
    : m_severity(severity)
{
    m_members.append(R"("severity":")")
        .append(SeverityNames[static_cast<std::size_t>(severity)])
        .append(R"(","part":")")
        .append(PartNames[static_cast<std::size_t>(part)])
        .append(R"(","event":)")
        .append(boost::json::serialize(boost::json::string{name}));
}

LogEvent &LogEvent::raw(std::string_view name, std::string_view value)
{
    m_members.append(",\"").append(name).append("\":").append(value);
    return *this;
}

LogEvent &LogEvent::field(std::string_view name, std::string_view value)
{
    return raw(name, boost::json::serialize(boost::json::string{value}));
}

LogEvent &LogEvent::field(std::string_view name, bool value)
{
    return raw(name, value ? "true" : "false");
}

LogEvent &LogEvent::field(std::string_view name, double value)
{
    constexpr int decimals = 3;
    std::array<char, 64> digits{};
    const auto [end, status] = std::to_chars(digits.data(), digits.data() + digits.size(), value,
                                             std::chars_format::fixed, decimals);
    if (status != std::errc{})
        return raw(name, "null"); // The digits don't fit, as for a very large number.
    return raw(name, {digits.data(), static_cast<std::size_t>(end - digits.data())});
}

} // namespace baobabtrail::daemon
