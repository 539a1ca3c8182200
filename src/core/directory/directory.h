#pragma once

/// \file
/// \brief What the store says of services and their targets, in the product's own types.

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

/// \brief What the requests of a route are, as far as it matters when one fails.
enum class RequestKind {
    Unknown,       ///< Taken as one that must not run twice.
    Idempotent,    ///< May be sent again.
    NonIdempotent, ///< Must not run twice.
    Upload,        ///< Must not run twice; a large body.
    Download,      ///< May be sent again; a large answer.
};

/// \brief What an operator promises callers of a route.
struct RequestPolicy
{
    RequestKind kind = RequestKind::Unknown;
    std::uint32_t priority = LowestPriority; ///< 0 is the most urgent.
    Duration latency{0}; ///< Within which an answer is worth all; 0 where none is named.
    Duration timeout{0}; ///< After which the caller no longer waits; 0 where none is named.

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

/// \brief What a service's targets bear for a while after their start; nothing is stated where the
/// rate is 0.
struct WarmUpLimit
{
    Duration duration{0};
    double flowsPerSecond = 0; ///< New flows, of all daemons together.

    [[nodiscard]] bool isSet() const noexcept { return flowsPerSecond > 0; }

    friend bool operator==(const WarmUpLimit &, const WarmUpLimit &) = default;
};

/// \brief All routes of one version of the operator's configuration; never changed once made.
struct RouteTable
{
    std::uint64_t version = 0; ///< As the operator counts; grows.
    std::map<Endpoint, Route> routes;
    std::map<ServiceId, std::string> serviceNames;
    std::map<ServiceId, WarmUpLimit> warmUpLimits; ///< Of services that state one.
    Duration idleTimeout{0}; ///< A flow that was silent for longer may be forgotten; 0 for none.

    /// \return The route, or null.
    [[nodiscard]] const Route *find(const Endpoint &address) const noexcept
    {
        const auto found = routes.find(address);
        return found == routes.end() ? nullptr : &found->second;
    }
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \brief A target as it registered itself. It may start again under its id: then it holds no flow
/// and knows nothing of before.
struct RegisteredTarget
{
    TargetId id;
    /// Start of this incarnation, by the target's own clock; nothing where it does not say. Two
    /// are compared for being the same only, so that no clock has to be right.
    std::optional<std::chrono::sys_time<std::chrono::milliseconds>> startedAt;
    std::string name;
    ServiceId service;
    std::string domain;
    /// UDP; may have belonged to a target of another service before. It takes TCP connections there
    /// too.
    Endpoint address;
    std::uint32_t slots = 1;
    bool draining = false;
    Duration warmUpLeft{0}; ///< How much longer the target says that it is slow after its start.

    friend bool operator==(const RegisteredTarget &, const RegisteredTarget &) = default;
};

} // namespace baobabtrail
