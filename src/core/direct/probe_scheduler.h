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

/// \brief What a try to connect to a target has shown.
enum class ProbeOutcome {
    Alive,        ///< Its machine took the connection.
    Refused,      ///< Its machine answered, and did not take it: the target is gone, or full.
    TimedOut,     ///< No answer in time.
    Inconclusive, ///< This process was late itself.
};

/// \brief Decides when a target is tried by a connection, so that no caller has to wait to find
/// out whether it is still there.
///
/// A daemon sees so few flows to each of many targets that it would take seconds to learn from
/// them alone that a target, or a whole failure domain, has gone dark.
class ProbeScheduler
{
public:
    /// \brief Asks for a probe of a target that callers wait for, ahead of all others; does nothing
    /// where one is under way.
    void requestFirst(TargetId target);
    /// \brief Asks for a probe; does nothing where one is waiting or under way.
    void request(TargetId target);
    /// \return Those that are to begin now, each of them once.
    [[nodiscard]] std::vector<TargetId> startNext();
    void finished(TargetId target);

    /// \brief One more target of the failure domain has proved silent.
    /// \return Whether its others are to be tried too: several went at about the same time.
    [[nodiscard]] bool shouldSweep(const std::string &domain, TimePoint now);

private:
    struct Sweep
    {
        std::uint32_t silent = 0;
        TimePoint since{};
        TimePoint sweptAt{};
    };

    std::deque<TargetId> m_waiting;
    std::set<TargetId> m_pending; ///< Waiting or under way.
    std::size_t m_running = 0;
    std::map<std::string, Sweep> m_sweeps;
};

} // namespace baobabtrail
