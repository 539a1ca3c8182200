#pragma once

/// \file
/// \brief How much work the daemons have at the targets, by service, failure domain and priority.

#include "core/directory/directory.h"
#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace baobabtrail {

/// \brief The part of the work that a count is about.
struct UsageKey
{
    ServiceId service;
    std::string callers; ///< Failure domain of the daemons that the callers' packets reach.
    std::string targets; ///< Failure domain of the targets.
    std::uint32_t priority = RequestPolicy::LowestPriority; ///< Of the route; 0 is most urgent.

    friend auto operator<=>(const UsageKey &, const UsageKey &) = default;
};

/// \brief Averages over the last interval. Counts of several daemons add up.
struct Usage
{
    /// Openings and first requests of flows in flight. With a new flow the same work could have
    /// gone to another target.
    double movable = 0;
    double pinned = 0;        ///< Later requests in flight; they stay at the target of their flow.
    double answers = 0;       ///< Answers per second.
    double answerSeconds = 0; ///< Sum of the answer times of these, in seconds per second.

    [[nodiscard]] double inFlight() const noexcept { return movable + pinned; }

    Usage &operator+=(const Usage &other) noexcept
    {
        movable += other.movable;
        pinned += other.pinned;
        answers += other.answers;
        answerSeconds += other.answerSeconds;
        return *this;
    }
    friend bool operator==(const Usage &, const Usage &) noexcept = default;
};

using UsageTable = std::map<UsageKey, Usage>;

/// \brief The usage that all daemons have reported together, as known to one of them.
struct UsageView
{
    UsageTable usage;
    std::uint32_t daemons = 0; ///< Daemons whose reports are part of it.
    /// When the oldest part of it was measured, at the latest.
    TimePoint measuredAt{};
};

} // namespace baobabtrail
