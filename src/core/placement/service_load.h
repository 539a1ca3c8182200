#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Load of a service in one failure domain, counted by all daemons together.
struct DomainLoad
{
    std::string domain;
    std::size_t targets = 0; ///< That may get new flows here.
    double slots = 0;        ///< Of the targets here that take new flows.
    double movable = 0;  ///< Movable work in flight of the callers that enter here, wherever it is.
    double pinned = 0;   ///< Pinned work in flight at the targets here.
    double inFlight = 0; ///< All work in flight at the targets here.
    std::map<std::uint32_t, double> byPriority{}; ///< The same by the priority of the route.
    double answers = 0;                           ///< Answers per second of the targets here.
    double answerSeconds = 0; ///< Sum of their answer times, in seconds per second.

    /// \return Requests in flight per slot; 0 where there is no slot.
    [[nodiscard]] double perSlot() const noexcept { return slots > 0 ? inFlight / slots : 0; }
};

/// \brief Load of a service in all failure domains.
struct ServiceLoad
{
    ServiceId service;
    std::vector<DomainLoad> domains; ///< By name; each that has targets or callers.
};

} // namespace baobabtrail
