#include "daemon/settings/duration_text.h"

#include <array>
#include <charconv>
#include <limits>

namespace baobabtrail::daemon {

namespace {

struct Unit
{
    std::string_view name;
    Duration length;
};

// Largest unit first, so that toString() returns the shortest text.
constexpr std::array Units{Unit{"h", 1h}, Unit{"min", 1min}, Unit{"s", 1s}, Unit{"ms", 1ms},
                           Unit{"us", 1us}};

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc{} || number < 0)
        return std::nullopt;

    const std::string_view name{parsed, static_cast<std::size_t>(end - parsed)};
    for (const Unit &unit : Units) {
        if (unit.name != name)
            continue;
        if (number > std::numeric_limits<std::int64_t>::max() / unit.length.count())
            return std::nullopt;
        return number * unit.length;
    }
    return std::nullopt;
}

std::string toString(Duration duration)
{
    for (const Unit &unit : Units) {
        if (duration % unit.length == Duration::zero() && duration >= unit.length)
            return std::to_string(duration / unit.length) + std::string{unit.name};
    }
    return "0s";
}

} // namespace baobabtrail::daemon
