#pragma once

#include "core/direct/direct_targets.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace baobabtrail::test {

/// Failure domains of a LoadReplay: daemons by index and targets by id, modulo this number.
inline constexpr std::size_t LoadDomains = 3;

/// \brief Parameters of a LoadReplay.
struct LoadPattern
{
    std::size_t daemons = 6;
    std::size_t targets = 12;
    std::uint32_t slots = 3;
    std::size_t queue = 12; ///< Queue length of a target; it sheds further requests.
    Duration work = 50ms;   ///< Mean service time of a request.
    Duration latency = 250ms;
    Duration timeout = 2500ms;
    Duration refusalTakes = 2ms;   ///< From a request's arrival at a full queue to the refusal.
    double load = 1.0;             ///< Offered load, relative to the capacity of the slots.
    double urgentShare = 0;        ///< Share of requests on a route of higher priority.
    double ownFlowShare = 0;       ///< Share of requests that open a flow of their own.
    bool heldBack = true;          ///< Whether daemons hold requests back under overload.
    bool exchangesUsage = false;   ///< Whether daemons learn the usage of all others.
    std::size_t silentTargets = 0; ///< Stop answering when the measurement begins.
    DirectSettings flows{};
};

/// \brief A load that lasts for a time.
struct LoadPhase
{
    Duration span{0};
    /// By failure domain of the callers, relative to the capacity of the domain's slots.
    std::vector<double> loads;
    double urgentShare = 0; ///< Share of requests on a route of higher priority.
};

/// \brief Outcomes of the requests that began during the measurement.
struct LoadResult
{
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;          ///< Every try was refused.
    std::size_t refusedByDaemons = 0; ///< Tries whose opening a daemon refused.
    std::size_t held = 0;             ///< First segments that were held back.
    std::size_t twice = 0;            ///< Requests that ran more than once.

    [[nodiscard]] double shareInTime() const noexcept
    {
        return static_cast<double>(inTime) / static_cast<double>(std::max<std::size_t>(asked, 1));
    }
    LoadResult &operator+=(const LoadResult &other) noexcept
    {
        asked += other.asked;
        inTime += other.inTime;
        late += other.late;
        refused += other.refused;
        refusedByDaemons += other.refusedByDaemons;
        held += other.held;
        twice += other.twice;
        return *this;
    }
};

/// \brief What reached the targets during the measurement and until its requests had ended.
struct ArrivalResult
{
    std::size_t arrivals = 0;
    std::size_t refusals = 0; ///< Of these, by a full queue.

    ArrivalResult &operator+=(const ArrivalResult &other) noexcept
    {
        arrivals += other.arrivals;
        refusals += other.refusals;
        return *this;
    }
};

/// \brief Selects a part of the outcomes; all where nothing is set.
struct LoadSelection
{
    std::optional<std::size_t> callers{}; ///< Failure domain of the daemon.
    std::optional<std::size_t> targets{}; ///< Failure domain of the target.
    std::optional<bool> urgent{};
    std::size_t from = 0; ///< Second of the measurement in which it began, and the first one after.
    std::size_t until = std::numeric_limits<std::size_t>::max();
};

/// \brief Outcomes by failure domains, priority and second.
template <typename Result>
class LoadCounts
{
public:
    struct Key
    {
        std::size_t callers = 0;
        std::size_t targets = 0;
        bool urgent = false;
        std::size_t second = 0;

        friend auto operator<=>(const Key &, const Key &) = default;
    };

    [[nodiscard]] Result &at(const Key &key) { return m_counts[key]; }
    [[nodiscard]] Result sum(const LoadSelection &which) const
    {
        Result out;
        for (const auto &[key, counted] : m_counts) {
            const bool selected = which.callers.value_or(key.callers) == key.callers
                                  && which.targets.value_or(key.targets) == key.targets
                                  && which.urgent.value_or(key.urgent) == key.urgent
                                  && key.second >= which.from && key.second < which.until;
            if (selected)
                out += counted;
        }
        return out;
    }

private:
    std::map<Key, Result> m_counts;
};

} // namespace baobabtrail::test
