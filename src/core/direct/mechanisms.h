#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief What of the decisions on flows and requests can be switched off, to measure its worth.
enum class Mechanism : std::size_t {
    OwnDomainFirst, ///< New flows stay in the daemon's failure domain unless its targets are busy.
    Slowness,       ///< A target that answers slower than its peers counts as more loaded.
    SlownessFades,  ///< What was learnt of a target's speed is forgotten within seconds.
    OpenFlowWeight, ///< Flows that are open count as load, also while they ask for nothing.
    Suspicion,      ///< Targets that leave several flows without a sign get no new ones.
    Probes,         ///< Targets that leave a flow without a sign are tried by a connection.
    Lapses,         ///< Registrations that went with an outage of the store may come back.
    LapsedAlike,    ///< While most have lapsed, these get new flows like the others.
    MovedOpenings,  ///< A first segment that comes again may go to another target.
    WaitForView,    ///< Segments that come before the directory wait for it.
    HoldRequests,   ///< Requests on open flows wait here while their target is saturated.
    NewestFirst,    ///< Of these, the newest goes first; else the oldest.
    Priorities,     ///< Of these, the more urgent goes first.
    Count,
};

/// Names of Mechanism, for settings and the log.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Mechanism::Count)>
    MechanismNames{"ownDomainFirst", "slowness",    "slownessFades", "openFlowWeight",
                   "suspicion",      "probes",      "lapses",        "lapsedAlike",
                   "movedOpenings",  "waitForView", "holdRequests",  "newestFirst",
                   "priorities"};

/// \return The mechanism of that name, or nothing.
[[nodiscard]] constexpr std::optional<Mechanism> mechanismNamed(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < MechanismNames.size(); ++index) {
        if (MechanismNames[index] == name)
            return static_cast<Mechanism>(index);
    }
    return std::nullopt;
}

/// \brief The mechanisms that are in use: all, unless an experiment leaves some out.
class Mechanisms
{
public:
    [[nodiscard]] bool has(Mechanism mechanism) const noexcept
    {
        return !m_without[static_cast<std::size_t>(mechanism)];
    }
    void leaveOut(Mechanism mechanism) noexcept
    {
        m_without.set(static_cast<std::size_t>(mechanism));
    }
    [[nodiscard]] bool complete() const noexcept { return m_without.none(); }

private:
    std::bitset<static_cast<std::size_t>(Mechanism::Count)> m_without;
};

/// \return The names of those that are left out, with blanks between.
[[nodiscard]] inline std::string toString(const Mechanisms &mechanisms)
{
    std::string out;
    for (std::size_t index = 0; index < MechanismNames.size(); ++index) {
        if (mechanisms.has(static_cast<Mechanism>(index)))
            continue;
        out += (out.empty() ? "" : " ") + std::string{MechanismNames[index]};
    }
    return out;
}

} // namespace baobabtrail
