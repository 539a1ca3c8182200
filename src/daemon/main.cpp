#include "daemon/daemon.h"
#include "daemon/settings/settings_reader.h"

#include <gflags/gflags.h>

#include <chrono>
#include <exception>
#include <iostream>

DEFINE_string(settings, "", "Settings file (JSON with comments); see docs/SETTINGS.md.");
DEFINE_bool(check, false, "Only check the settings; exit status 2 where they are wrong.");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::daemon;

constexpr const char *Version = "0.1";

/// \return A number that is larger at each start of the daemon on this VM.
[[nodiscard]] Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    return Incarnation{static_cast<std::uint64_t>(micros)};
}

[[nodiscard]] ExitStatus reportFindings(const Findings &findings)
{
    for (const Finding &finding : findings)
        std::cerr << "settings: " << finding.place << ": " << finding.text << '\n';
    return ExitStatus::BadSettings;
}

[[nodiscard]] ExitStatus runDaemon(const std::string &path)
{
    auto result = readSettingsFile(path);
    if (const auto *findings = std::get_if<Findings>(&result))
        return reportFindings(*findings);
    Settings &settings = std::get<Settings>(result);
    if (FLAGS_check) {
        std::cout << "settings: no findings\n";
        return ExitStatus::Done;
    }
    const LogSession log{settings.log.level};
    Daemon daemon{std::move(settings), newIncarnation()};
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(Version);
    gflags::SetUsageMessage("baobabtraild --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "usage: " << gflags::ProgramUsage() << '\n';
        return static_cast<int>(ExitStatus::BadSettings);
    }
    try {
        return static_cast<int>(runDaemon(FLAGS_settings));
    } catch (const std::exception &error) {
        std::cerr << "daemon: " << error.what() << '\n';
        return static_cast<int>(ExitStatus::Failed);
    }
}
