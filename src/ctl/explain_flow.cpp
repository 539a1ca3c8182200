#include "ctl/explain_flow.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail::ctl {

namespace json = boost::json;

namespace {

/// Context is printed from this long before the flow's first line to this long after its last.
constexpr double ContextSeconds = 2.0;

/// \return A number rounded to one decimal.
[[nodiscard]] std::string formatDecimal(double value)
{
    std::array<char, 32> digits{};
    const auto [end, status] = std::to_chars(digits.data(), digits.data() + digits.size(), value,
                                             std::chars_format::fixed, 1);
    return status == std::errc{} ? std::string{digits.data(), end} : std::to_string(value);
}

/// \brief One parsed log line.
struct Line
{
    double seconds = 0; ///< Since midnight, UTC.
    std::string time;
    std::string daemon;
    json::object fields;

    [[nodiscard]] std::string text(std::string_view name) const
    {
        const json::value *found = fields.if_contains(name);
        if (!found)
            return {};
        if (found->is_string())
            return {found->get_string().data(), found->get_string().size()};
        if (found->is_double())
            return formatDecimal(found->get_double());
        return json::serialize(*found);
    }
};

/// \return Seconds since midnight of a time such as "2026-05-01T21:39:06.108882Z".
[[nodiscard]] double secondsOf(const std::string &time)
{
    constexpr std::size_t clockAt = 11;
    constexpr std::size_t shortest = 19;
    if (time.size() < shortest)
        return 0;
    const double hours = std::stod(time.substr(clockAt, 2));
    const double minutes = std::stod(time.substr(clockAt + 3, 2));
    return hours * 3600 + minutes * 60 + std::stod(time.substr(clockAt + 6));
}

[[nodiscard]] std::vector<Line> readLines(std::istream &log, std::size_t &unread)
{
    std::vector<Line> lines;
    std::string text;
    while (std::getline(log, text)) {
        const auto brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        boost::system::error_code error;
        const json::value value = json::parse(text.substr(brace), error);
        if (error || !value.is_object() || !value.get_object().contains("event")) {
            ++unread;
            continue;
        }
        Line line;
        line.fields = value.get_object();
        line.time = line.text("time");
        line.seconds = secondsOf(line.time);
        line.daemon = text.substr(0, brace);
        while (!line.daemon.empty() && line.daemon.back() == ' ')
            line.daemon.pop_back();
        line.daemon.erase(0, line.daemon.rfind(' ') + 1);
        lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const Line &a, const Line &b) { return a.seconds < b.seconds; });
    return lines;
}

[[nodiscard]] bool mentionsFlow(const Line &line, std::string_view flow)
{
    const std::string own = line.text("flow");
    return own == flow || (own.starts_with(flow) && own[flow.size()] == '>');
}

/// \return Whether a line reports a start, a stop, or a change in a dependency of the daemon.
[[nodiscard]] bool isDaemonEvent(const Line &line)
{
    static const std::set<std::string> events{"start",       "ready",          "stop",
                                              "end",         "reload",         "store_lost",
                                              "store_back",  "peers_lost",     "peers_fresh",
                                              "peers_stale", "history_lost",   "stood_still",
                                              "part_failed", "routes_in_force"};
    return events.contains(line.text("event"));
}

void print(const Line &line, std::ostream &out)
{
    static const std::set<std::string> known{"time", "severity", "part", "event", "flow"};
    out << line.time << ' ' << line.daemon << ' ' << line.text("part") << ": "
        << line.text("event");
    for (const auto &[name, value] : line.fields) {
        if (!known.contains(std::string{name}))
            out << ' ' << name << '=' << line.text(name);
    }
    out << '\n';
}

struct Cause
{
    std::string_view event;
    std::string_view text;
};

/// In order of precedence: the first whose event is among a flow's lines is printed as the cause.
constexpr std::array Causes{
    Cause{"target_gone",
          "its target left while it acknowledged nothing; the flow was ended so that "
          "the caller could ask again"},
    Cause{"route_removed", "the operator removed the route; its flows were ended"},
    Cause{"no_route", "no service had the address, by a view that was fresh"},
    Cause{"no_target", "the service had no target that took flows"},
    Cause{"stale_view", "the daemon's view was out of date, so it said nothing"},
    Cause{"unknown_label", "the daemon did not know the flow's target"},
    Cause{"given_up", "its target was saturated; the request waited until no answer could have "
                      "reached the caller in time, and never ran"},
    Cause{"moved", "the first target gave no sign of life; another one was tried"},
    Cause{"repeated", "the caller sent again: its target acknowledged nothing for a while"},
    Cause{"released", "its target was saturated; the request waited before it went on"},
    Cause{"held", "its target was saturated; the request waited"},
    Cause{"slow_answer", "its target answered late"},
    Cause{"opening_expired", "the opening waited at a daemon until its caller's next copy, which "
                             "counts in its place"},
    Cause{"offered_again", "the opening was sent again: its answer was lost or late"},
    Cause{"placed", "nothing out of the ordinary was decided"}};

void printCause(const std::vector<const Line *> &own, std::ostream &out)
{
    for (const Cause &cause : Causes) {
        const bool shown = std::any_of(own.begin(), own.end(), [&](const Line *line) {
            return line->text("event") == cause.event;
        });
        if (!shown)
            continue;
        out << "cause: " << cause.text << '\n';
        return;
    }
}

} // namespace

bool explainFlow(std::istream &log, std::string_view flow, std::ostream &out)
{
    std::size_t unread = 0;
    const std::vector<Line> lines = readLines(log, unread);
    std::vector<const Line *> own;
    std::set<std::string> targets;
    std::set<std::string> daemons;
    for (const Line &line : lines) {
        if (!mentionsFlow(line, flow))
            continue;
        own.push_back(&line);
        daemons.insert(line.daemon);
        if (const std::string target = line.text("target"); !target.empty())
            targets.insert(target);
    }
    if (unread > 0)
        out << unread << " lines could not be read\n";
    if (own.empty()) {
        out << "no line names " << flow << '\n';
        return false;
    }
    const double from = own.front()->seconds - ContextSeconds;
    const double to = own.back()->seconds + ContextSeconds;
    for (const Line &line : lines) {
        if (line.seconds < from || line.seconds > to || !daemons.contains(line.daemon))
            continue;
        const bool ofTarget
            = line.text("part") == "targets" && targets.contains(line.text("target"));
        if (mentionsFlow(line, flow) || ofTarget || isDaemonEvent(line))
            print(line, out);
    }
    printCause(own, out);
    return true;
}

} // namespace baobabtrail::ctl
