#include "daemon/settings/common_sections.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

void readPlatform(ObjectReader &reader, PlatformClientSettings &out)
{
    reader.endpoint("address", out.platform, Presence::Required);
    reader.duration("timeout", out.timeout, 10ms, 1min);
    reader.duration("longestAnswer", out.maxAnswerTime, 0s, 10min);
}

void readSockets(ObjectReader &reader, SocketSettings &out)
{
    reader.number("batch", out.batch, 1, 256);
    reader.number("receiveBufferBytes", out.receiveBufferBytes, 4096, 1 << 30);
    reader.number("sendBufferBytes", out.sendBufferBytes, 4096, 1 << 30);
}

void readLog(ObjectReader &reader, LogSettings &out)
{
    struct Level
    {
        std::string_view name;
        Severity severity;
    };
    constexpr std::array levels{Level{"debug", Severity::Debug}, Level{"info", Severity::Info},
                                Level{"warning", Severity::Warning},
                                Level{"error", Severity::Error}};
    std::string name;
    reader.text("level", name);
    const auto *level = std::find_if(levels.begin(), levels.end(),
                                     [&](const Level &entry) { return entry.name == name; });
    if (level != levels.end())
        out.level = level->severity;
    else if (!name.empty())
        reader.addFinding("level", "expected debug, info, warning or error");
    reader.number("linesPerSecond", out.linesPerSecond, 1, 10000);
}

void readRestarts(ObjectReader &reader, RestartPolicy &out)
{
    reader.duration("firstDelay", out.firstDelay, 1ms, 1min);
    reader.duration("maxDelay", out.maxDelay, 1ms, 10min);
    reader.number("maxFailures", out.maxFailures, 0, 1000);
    reader.duration("window", out.window, 100ms, 1h);
    if (out.maxDelay < out.firstDelay)
        reader.addFinding("maxDelay", "must not be shorter than restarts.firstDelay");
}

} // namespace baobabtrail::daemon
