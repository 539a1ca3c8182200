#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Result of a TCP connection that was attempted to check a target's health.
enum class ProbeOutcome {
    Alive,        ///< The host accepted the connection.
    Refused,      ///< The host answered and refused it: the target is gone, or full.
    TimedOut,     ///< No answer within the timeout.
    Inconclusive, ///< This process was late itself, so a timeout proves nothing.
};

/// \brief Decides when targets are probed by a connection.
///
/// A daemon sees so few flows to each of many targets that it would take seconds to detect from
/// traffic alone that a target, or a whole failure domain, is unreachable. Probes detect it without
/// callers that have to wait.
class ProbeScheduler
{
public:
    /// \brief Queues a probe ahead of all others, for a target that callers wait for; no effect
    /// while one is running.
    void requestFirst(TargetId target);
    /// \brief Queues a probe; no effect while one is queued or running.
    void request(TargetId target);
    /// \brief Takes the targets whose probes start now, up to the bound on concurrent probes.
    [[nodiscard]] std::vector<TargetId> startNext();
    /// \brief Counts a probe that starts now, ahead of all and beyond the bound.
    /// \return False while one is queued or running.
    [[nodiscard]] bool startAtOnce(TargetId target);
    /// \brief The target's probe has ended: another one may start.
    void finished(TargetId target);

    /// \brief Counts a target of the failure domain whose first probe has failed.
    /// \return Whether to probe the domain's other targets too, as several failed at about the same
    /// time.
    [[nodiscard]] bool shouldSweep(const std::string &domain, TimePoint now);
    /// \brief Counts a target of the failure domain that other daemons found silent.
    /// \param targets Of the domain.
    /// \return Whether to probe the domain's other targets too, as a part of them that is no
    /// coincidence was found at about the same time.
    [[nodiscard]] bool shouldSweepReported(const std::string &domain, std::size_t targets,
                                           TimePoint now);

private:
    /// \brief Failed targets since a time.
    struct Failures
    {
        std::size_t count = 0;
        TimePoint since{};
    };
    struct Sweep
    {
        Failures silent;
        Failures reported;
        TimePoint sweptAt{};
    };

    [[nodiscard]] static bool shouldSweep(Sweep &sweep, Failures &failures, std::size_t least,
                                          Duration interval, TimePoint now);

    std::deque<TargetId> m_waiting;
    std::set<TargetId> m_pending; ///< Queued or running.
    std::size_t m_running = 0;
    std::map<std::string, Sweep> m_sweeps;
};

} // namespace baobabtrail
