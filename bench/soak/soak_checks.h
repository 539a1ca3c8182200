#pragma once

#include "direct/world.h"
#include "soak/soak_logs.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail::soak {

using standins::BrokenFlow;
using standins::Caller;
using standins::CallerLog;
using standins::World;

/// \brief Checks of one seed's outcome, by what callers, targets and the daemons' metrics report.
class SoakChecks
{
public:
    /// \param world,logs Must outlive this object.
    SoakChecks(World &world, const SoakLogs &logs)
        : m_world(world)
        , m_logs(logs)
    {
    }

    [[nodiscard]] const std::vector<std::string> &findings() const noexcept { return m_findings; }

    void expect(bool holds, const std::string &finding)
    {
        if (!holds)
            m_findings.push_back(finding);
    }

    /// \brief Checks that the daemon has the newest configuration in force and reports its version.
    void checkConfiguration(std::size_t index)
    {
        const std::string daemon = "daemon " + std::to_string(index);
        const std::string page = metricsOf(index);
        m_logs.add("metrics" + std::to_string(index) + ".txt", page);
        const auto inForce = configurationOn(page);
        expect(inForce.has_value(), daemon + " reports no configuration version");
        if (!inForce || *inForce == m_world.newestConfiguration())
            return;
        m_findings.push_back(daemon + " uses an old configuration: " + std::to_string(*inForce)
                             + ", the newest is " + std::to_string(m_world.newestConfiguration())
                             + ", the store has " + std::to_string(m_world.storedConfiguration())
                             + "; its log: " + m_logs.lastLine(index, "routes_in_force", "config"));
    }

    /// \brief Sends a last round of requests from all callers, then checks everything that callers
    /// and targets have seen.
    void checkTraffic()
    {
        const CallerLog before = m_world.callerLog;
        const std::vector<std::size_t> feedsBefore = feedAnswers();
        for (int round = 0; round < 4; ++round) {
            for (const auto &caller : m_world.callers())
                caller->ask(World::routeOf(0), "lending");
            m_world.run(std::chrono::milliseconds{500});
        }
        checkLastAnswers(before, feedsBefore);
        checkCallers();
        checkTargets();
    }

private:
    /// Packets at another target from which a flow counts as lost.
    static constexpr std::size_t AstrayPackets = 3;

    /// \return A daemon's metrics page. A page that arrives only on the second attempt, or not at
    /// all, is a finding of its own, distinct from an old configuration.
    [[nodiscard]] std::string metricsOf(std::size_t index)
    {
        const auto askedAt = World::Clock::now();
        std::string page = m_world.metricsOf(index);
        if (!page.empty())
            return page;
        const std::chrono::duration<double, std::milli> waited = World::Clock::now() - askedAt;
        m_findings.push_back("daemon " + std::to_string(index)
                             + " did not serve its metrics page in time (requested "
                             + std::to_string(std::lround(waited.count())) + " ms ago)");
        return m_world.metricsOf(index);
    }

    /// \return Version of the configuration in force as given on a metrics page.
    [[nodiscard]] static std::optional<std::uint64_t> configurationOn(const std::string &page)
    {
        constexpr std::string_view name = "\nbaobabtrail_config_version ";
        const std::size_t line = page.find(name);
        if (line == std::string::npos)
            return std::nullopt;
        return std::stoull(page.substr(line + name.size()));
    }

    /// \return Number of answers that each caller's feed has received so far.
    [[nodiscard]] std::vector<std::size_t> feedAnswers() const
    {
        std::vector<std::size_t> answers;
        for (const auto &caller : m_world.callers())
            answers.push_back(caller->feedAnswers());
        return answers;
    }

    void checkLastAnswers(const CallerLog &before, const std::vector<std::size_t> &feedsBefore)
    {
        const CallerLog &after = m_world.callerLog;
        const std::size_t asked = after.asked - before.asked;
        const std::size_t answered = after.answered - before.answered;
        expect(answered * 10 >= asked * 9, std::to_string(answered) + " of " + std::to_string(asked)
                                               + " requests answered after the last fault");
        for (std::size_t index = 0; index < feedsBefore.size(); ++index) {
            const Caller &caller = *m_world.callers()[index];
            expect(caller.feedAnswers() > feedsBefore[index],
                   "the feed of " + toString(caller.address()) + " hangs");
        }
    }

    void checkCallers()
    {
        const CallerLog &callers = m_world.callerLog;
        expect(callers.broken == 0, std::to_string(callers.broken) + " open flows broken");
        for (const BrokenFlow &flow : callers.brokenFlows)
            m_findings.push_back(describe(flow));
        expect(callers.wrongAnswers == 0, std::to_string(callers.wrongAnswers) + " wrong answers");
        std::cout << "asked " << callers.asked << " answered " << callers.answered << " refused "
                  << callers.refused << " timed out " << callers.timedOut << ", on open flows "
                  << callers.lost << ", flows ended " << callers.ended << " broken "
                  << callers.broken << '\n';
    }

    void checkTargets()
    {
        const TargetLog &targets = m_world.targetLog;
        expect(targets.wrongService == 0,
               std::to_string(targets.wrongService) + " requests at another service's target");
        expect(targets.lateOpens == 0,
               std::to_string(targets.lateOpens) + " flows opened at a drained target");
        expect(targets.evacuatedOpens == 0,
               std::to_string(targets.evacuatedOpens) + " flows opened in an evacuated domain");
        expect(targets.coldOpens == 0,
               std::to_string(targets.coldOpens) + " flows above the limit of a cold target");
        for (const auto &[caller, packets] : targets.astray)
            expect(packets < AstrayPackets, "the flow of " + toString(caller) + " sent "
                                                + std::to_string(packets)
                                                + " packets to a target at which it isn't open");
        const auto twice = std::count_if(targets.runs.begin(), targets.runs.end(),
                                         [](const auto &item) { return item.second > 1; });
        expect(twice == 0, std::to_string(twice) + " requests ran twice");
    }

    /// \return The flow, the daemon that ended it, and that daemon's last log line about the flow.
    [[nodiscard]] std::string describe(const BrokenFlow &broken) const
    {
        const std::string flow = toString(broken.caller) + '>' + toString(broken.route);
        const std::size_t daemon = m_world.indexOf(broken.daemon);
        return "flow " + flow + " was ended at " + std::to_string(unixMillis(broken.at))
               + " by daemon " + std::to_string(daemon)
               + "; its log: " + m_logs.lastLine(daemon, flow, "\"flows\"");
    }

    World &m_world;
    const SoakLogs &m_logs;
    std::vector<std::string> m_findings;
};

} // namespace baobabtrail::soak
