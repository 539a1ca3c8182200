#include "command_line.h"
#include "daemon/daemon.h"
#include "daemon/direct/direct_daemon.h"
#include "daemon/settings/settings_file.h"

#include <chrono>
#include <exception>
#include <iostream>

DEFINE_string(settings, "", "Settings file (JSON with comments); see docs/SETTINGS.md.");
DEFINE_bool(check, false, "Only check the settings; exit status 2 where they are wrong.");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::daemon;

constexpr const char *Version = "0.1";

/// \return A number that increases with each start of the daemon on this VM.
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

/// \brief Prints the mechanisms that an experiment turns off, so that it isn't left in force
/// unnoticed.
void reportExperiments(const DirectDaemonSettings &settings)
{
    const Mechanisms &mechanisms = settings.node.flows.mechanisms;
    if (!mechanisms.complete())
        std::cout << "settings: experiments.without: " << toString(mechanisms) << '\n';
}

/// \brief Runs the kind of daemon that the settings are for.
struct Runner
{
    SettingsFile &file;

    ExitStatus operator()(const Findings &findings) const { return reportFindings(findings); }

    ExitStatus operator()(Settings &settings) const
    {
        const LogSession log{settings.log.level};
        Daemon daemon{std::move(settings), newIncarnation()};
        return daemon.run();
    }

    ExitStatus operator()(DirectDaemonSettings &settings) const
    {
        const LogSession log{settings.log.level};
        const std::uint64_t seed
            = newIncarnation().value() ^ std::hash<std::string>{}(settings.name);
        DirectDaemon daemon{std::move(settings), std::move(file), seed};
        return daemon.run();
    }
};

[[nodiscard]] ExitStatus runDaemon(const std::string &path)
{
    SettingsFile file{path};
    AnySettings settings = file.read();
    if (FLAGS_check && !std::holds_alternative<Findings>(settings)) {
        std::cout << "settings: no findings\n";
        if (const auto *direct = std::get_if<DirectDaemonSettings>(&settings))
            reportExperiments(*direct);
        return ExitStatus::Done;
    }
    return std::visit(Runner{file}, settings);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(Version);
    readFlags(argc, argv, "baobabtraild --settings FILE [--check]");
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
