#pragma once

/// \file
/// \brief Types for the services, routes and targets that the store holds.

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A service that takes a share of a route's new flows.
struct RouteShare
{
    ServiceId service;
    std::uint32_t weight = 1; ///< Relative to the other shares of the route.

    friend bool operator==(const RouteShare &, const RouteShare &) = default;
};

/// \brief Whether the requests of a route may be retried after a failure.
enum class RequestKind {
    Unknown,       ///< Treated as NonIdempotent.
    Idempotent,    ///< May be sent again.
    NonIdempotent, ///< Must not run twice.
    Upload,        ///< Must not run twice; has a large body.
    Download,      ///< May be sent again; has a large response.
};

/// \brief Priority and deadlines that the operator sets for the requests of a route.
struct RequestPolicy
{
    RequestKind kind = RequestKind::Unknown;
    std::uint32_t priority = LowestPriority; ///< 0 is the most urgent.
    Duration latency{0};                     ///< Target latency of a response; 0 for none.
    Duration timeout{0};                     ///< After which the caller stops waiting; 0 for none.

    static constexpr std::uint32_t LowestPriority = 1000;

    friend bool operator==(const RequestPolicy &, const RequestPolicy &) = default;
};

/// \brief An address at which callers open flows, and the services behind it.
struct Route
{
    std::string name;
    Endpoint address;
    std::vector<RouteShare> shares; ///< Never empty.
    RequestPolicy policy{};

    friend bool operator==(const Route &, const Route &) = default;
};

/// \brief Limit on the new flows of a service's targets after their start; unset where the rate is
/// 0.
struct WarmUpLimit
{
    Duration duration{0};
    double flowsPerSecond = 0; ///< New flows, summed over all daemons.

    [[nodiscard]] bool isSet() const noexcept { return flowsPerSecond > 0; }

    friend bool operator==(const WarmUpLimit &, const WarmUpLimit &) = default;
};

/// \brief All routes of one version of the operator's configuration; immutable.
struct RouteTable
{
    std::uint64_t version = 0; ///< Version of the operator's configuration; only grows.
    std::map<Endpoint, Route> routes;
    std::map<ServiceId, std::string> serviceNames;
    std::map<ServiceId, WarmUpLimit> warmUpLimits; ///< Only services that set one.
    Duration idleTimeout{0}; ///< Flows that are idle for longer may be evicted; 0 for none.

    /// \return The route of the address, or null.
    [[nodiscard]] const Route *find(const Endpoint &address) const noexcept
    {
        const auto found = routes.find(address);
        return found == routes.end() ? nullptr : &found->second;
    }
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \brief A target as it registered itself.
///
/// A target may restart under the same id: it then has no flows and no earlier state.
struct RegisteredTarget
{
    TargetId id;
    /// Start time of this incarnation by the target's own clock, or nothing where the target
    /// doesn't report it. Only compared for equality, so that clocks don't have to be synchronised.
    std::optional<std::chrono::sys_time<std::chrono::milliseconds>> startedAt;
    std::string name;
    ServiceId service;
    std::string domain;
    /// UDP address, at which the target accepts TCP connections too. It may have belonged to a
    /// target of another service before.
    Endpoint address;
    std::uint32_t slots = 1;
    bool draining = false;
    Duration warmUpLeft{0}; ///< Remaining warm-up time, as reported by the target.

    friend bool operator==(const RegisteredTarget &, const RegisteredTarget &) = default;
};

} // namespace baobabtrail
