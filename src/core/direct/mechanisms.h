#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief Parts of the decisions on flows and requests that an experiment can switch off, to
/// measure what each contributes.
enum class Mechanism : std::size_t {
    OwnDomainFirst, ///< New flows stay in the local failure domain unless its targets are busy.
    Slowness,       ///< A target that answers slower than its peers counts as more loaded.
    SlownessFades,  ///< A target's measured slowness decays within seconds.
    OpenFlowWeight, ///< Open flows count as load, also while no request is in flight.
    Suspicion,      ///< Targets that don't respond to several flows get no new ones.
    Probes,         ///< A target that doesn't respond to a flow is probed by a TCP connection.
    Lapses,         ///< Registrations that vanished with a store outage may still be valid.
    LapsedAlike,    ///< While most targets have lapsed, lapsed ones get new flows like the others.
    MovedOpenings,  ///< A retransmitted opening segment may go to another target.
    WaitForView,    ///< Segments that arrive before the directory is complete wait for it.
    HoldRequests,   ///< Requests on open flows are held while their target is saturated.
    NewestFirst,    ///< Of the held requests the newest goes first; else the oldest.
    Priorities,     ///< Of the held requests the most urgent goes first.
    Spill,          ///< New flows go to other domains by the usage that all daemons report.
    Reservations,   ///< Targets are reserved for urgent requests while a service is saturated.
    SharedEvidence, ///< Targets that other daemons find silent get no new flows.
    Count,
};

/// Names of the mechanisms in settings and the log, in the order of Mechanism.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Mechanism::Count)>
    MechanismNames{"ownDomainFirst", "slowness",    "slownessFades", "openFlowWeight",
                   "suspicion",      "probes",      "lapses",        "lapsedAlike",
                   "movedOpenings",  "waitForView", "holdRequests",  "newestFirst",
                   "priorities",     "spill",       "reservations",  "sharedEvidence"};

/// \return The mechanism of that name, or nothing where the name is unknown.
[[nodiscard]] constexpr std::optional<Mechanism> mechanismNamed(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < MechanismNames.size(); ++index) {
        if (MechanismNames[index] == name)
            return static_cast<Mechanism>(index);
    }
    return std::nullopt;
}

/// \brief The mechanisms that are enabled: all, unless an experiment disables some.
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

/// \return The names of the disabled mechanisms, separated by spaces.
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
