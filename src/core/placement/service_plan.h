#pragma once

#include "core/directory/directory.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Share of the new flows of this daemon that goes to the targets of a failure domain.
struct DomainShare
{
    std::string domain;
    double share = 0; ///< All shares of a service add up to 1.

    friend bool operator==(const DomainShare &, const DomainShare &) = default;
};

/// \brief Targets of a service in one failure domain that are reserved for urgent requests.
struct Reservation
{
    /// Routes of this priority or a more urgent one use the reserved targets, all others don't.
    std::uint32_t priority = 0;
    std::size_t targets = 0;        ///< Number of reserved targets; 0 for none.
    std::uint32_t unchangedFor = 0; ///< Decisions since the number has changed.
    /// Share of the urgent flows that the reserved targets carry; the others use all targets.
    double share = 1;

    /// \return Whether both reserve the same.
    friend bool operator==(const Reservation &a, const Reservation &b) noexcept
    {
        return a.priority == b.priority && a.targets == b.targets;
    }
};

/// \brief How this daemon places the new flows of one service, decided from the usage that all
/// daemons report. An empty plan changes nothing.
struct ServicePlan
{
    std::vector<DomainShare> shares;                 ///< Empty while no domain is full.
    std::map<std::string, Reservation> reservations; ///< By failure domain of the targets.

    [[nodiscard]] bool spills() const noexcept { return !shares.empty(); }
    [[nodiscard]] bool empty() const noexcept { return shares.empty() && reservations.empty(); }

    friend bool operator==(const ServicePlan &, const ServicePlan &) = default;
};

} // namespace baobabtrail
