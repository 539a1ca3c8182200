/// \file
/// \brief Injects random faults into real daemon processes from outside and checks what callers and
/// targets see. Proxies in front of the store and between the daemons delay, reset or drop traffic;
/// daemons are stopped, killed, paused and replaced; targets and routes change meanwhile.
///
/// The same seed gives the same faults at the same times, but the timing of the processes between
/// them varies from run to run.

#include "command_line.h"
#include "soak/soak_checks.h"
#include "soak/soak_faults.h"
#include "soak/soak_logs.h"
#include "soak/store_stalls.h"

#include <iostream>
#include <optional>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "seeds to run, one after the other");
DEFINE_uint32(seconds, 20, "time with faults, for each seed");
DEFINE_uint32(daemons, 6, "daemons");
DEFINE_uint32(targets, 10, "targets at the start");
DEFINE_uint32(callers, 16, "callers, each with a feed");
DEFINE_uint32(large_changes, 8, "one in so many steps is a large change of the configuration");
DEFINE_uint32(store_stalls, 0,
              "duration in milliseconds of the periodic stalls of the store's process during the "
              "faults; 0 for none");
DEFINE_bool(verbose, false, "print each fault, and what the daemons print");
DEFINE_string(keep, BAOBABTRAIL_BINARY_DIR "/soak",
              "directory for the logs of seeds that find something");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::standins;
using baobabtrail::soak::SoakChecks;
using baobabtrail::soak::SoakFaults;
using baobabtrail::soak::SoakLogs;
using baobabtrail::soak::SoakSize;
using baobabtrail::soak::StoreStalls;
using namespace std::chrono_literals;

/// \brief Run of one seed: the system, its faults and the checks.
class Soak
{
public:
    explicit Soak(std::uint64_t seed)
        : m_logs(FLAGS_keep, seed)
        , m_world(FLAGS_daemons, std::min<std::size_t>(3, FLAGS_daemons), FLAGS_callers)
        , m_faults(m_world, size(), seed, m_logs, m_checks)
    {
        m_world.output
            = FLAGS_verbose ? test::Process::Output::Inherited : test::Process::Output::File;
        m_world.logDirectory = m_logs.directory();
    }

    /// \brief Retains the logs. \return Their directory.
    [[nodiscard]] std::string keepLogs() { return m_logs.keep(m_world.targetLog); }

    /// \return The failed checks; empty if all passed.
    std::vector<std::string> run()
    {
        begin();
        injectFaults();
        recover();
        m_checks.checkTraffic();
        return m_checks.findings();
    }

private:
    [[nodiscard]] static SoakSize size()
    {
        return {FLAGS_daemons, FLAGS_targets, FLAGS_callers, static_cast<int>(FLAGS_large_changes),
                FLAGS_verbose};
    }

    void begin()
    {
        m_faults.addTargets();
        for (std::size_t index = 0; index < FLAGS_daemons; ++index)
            m_world.startDaemon(index);
        if (!m_world.runUntil([&] { return m_world.inRotation() == FLAGS_daemons; }, 20s))
            m_checks.expect(false, "not all daemons were ready within 20 s of the start");
        m_world.coldFor = 3s;
        for (const auto &caller : m_world.callers()) {
            caller->feed(World::routeOf(0), "lending", 50ms);
            m_faults.openSlowFeed(*caller);
        }
    }

    void injectFaults()
    {
        std::optional<StoreStalls> stalls;
        if (FLAGS_store_stalls > 0)
            stalls.emplace(m_world, std::chrono::milliseconds{FLAGS_store_stalls});
        const auto end = World::Clock::now() + std::chrono::seconds{FLAGS_seconds};
        while (World::Clock::now() < end)
            m_world.run(m_faults.step());
    }

    void recover()
    {
        m_world.run(6s); // Long enough for all timed faults to end.
        m_faults.end();
        if (!m_world.runUntil([&] { return m_world.inRotation() == FLAGS_daemons; }, 12s))
            m_checks.expect(false, "not all daemons were ready within 12 s of the last fault");
        m_world.run(4s);
        for (std::size_t index = 0; index < FLAGS_daemons; ++index)
            m_checks.checkConfiguration(index);
    }

    SoakLogs m_logs;
    World m_world;
    SoakChecks m_checks{m_world, m_logs};
    SoakFaults m_faults;
};

/// \return Findings of all seeds.
std::size_t runSeeds()
{
    std::size_t failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        std::cout << "seed " << seed << ": " << std::flush;
        Soak soak{seed};
        const std::vector<std::string> findings = soak.run();
        for (const std::string &finding : findings)
            std::cout << "seed " << seed << " FAILED: " << finding << '\n';
        if (!findings.empty())
            std::cout << "seed " << seed << ": logs in " << soak.keepLogs() << '\n';
        failed += findings.size();
    }
    std::cout << failed << " findings in " << FLAGS_seeds << " seeds\n";
    return failed;
}

} // namespace

int main(int argc, char **argv)
{
    readFlags(argc, argv,
              "bench-soak [flags]: injects faults into real daemons from outside and checks what "
              "callers and targets see");
    try {
        return runSeeds() == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "bench-soak failed: " << error.what() << '\n';
        return 2;
    }
}
