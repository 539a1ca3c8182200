#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Administrative state of a target, as set by operators.
enum class TargetState {
    Active,
    Draining, ///< Gets no new work; existing flows continue until they end. Can be undone.
    Retiring, ///< Like Draining, and removed once it holds no flow and runs no request.
    Cut,      ///< Its flows are reset. The only state that breaks flows; set by command only.
};

struct TargetConfig
{
    TargetId id;
    Generation generation;
    std::string name;
    std::string domain;
    Endpoint flows;    ///< Address for flows, UDP.
    Endpoint requests; ///< Address for requests, TCP.
    TargetState state = TargetState::Active;
    bool evacuated = false;     ///< Whether its failure domain is. \see Config::evacuations
    std::uint32_t slots = 1;    ///< Requests that it can run concurrently.
    std::uint32_t weight = 100; ///< Share of new flows, relative to the other targets.
    Revision stateSince;        ///< Revision that set the current state.
    std::int64_t stateSinceUnixSeconds = 0; ///< Wall clock of the daemon that accepted the state.

    /// \return Whether operators allow it new work; its health isn't considered.
    [[nodiscard]] bool takesWork() const noexcept
    {
        return state == TargetState::Active && !evacuated;
    }

    friend bool operator==(const TargetConfig &, const TargetConfig &) = default;
};

/// \brief Limits of a service; the defaults suit the sizes given in docs/CAPACITY.md.
struct ServiceLimits
{
    std::uint32_t queuePerSlot = 4;     ///< Requests queued at an owner per slot of a target.
    std::uint32_t workspaceShare = 100; ///< Weight of the workspace when queues are full.
    std::uint32_t retryPercent = 10;    ///< Retries allowed, as a percentage of first attempts.

    friend bool operator==(const ServiceLimits &, const ServiceLimits &) = default;
};

struct ServiceConfig
{
    ServiceId id;
    std::string workspace;
    std::string name;
    ServiceLimits limits;
    std::map<TargetId, TargetConfig> targets;

    friend bool operator==(const ServiceConfig &, const ServiceConfig &) = default;
};

/// \brief An address that a target no longer uses and that other services must not reuse yet.
///
/// A daemon with an older configuration may still send the previous service's traffic to it.
struct QuarantinedAddress
{
    Endpoint address;
    ServiceId service;
    Revision since;
    std::int64_t untilUnixSeconds = 0; ///< Wall clock of the daemon that accepted the change.

    friend bool operator==(const QuarantinedAddress &, const QuarantinedAddress &) = default;
};

/// \brief A failure domain whose targets get no new work until it is restored.
struct DomainEvacuation
{
    Revision since;
    std::int64_t sinceUnixSeconds = 0; ///< Wall clock of the daemon that accepted the change.

    friend bool operator==(const DomainEvacuation &, const DomainEvacuation &) = default;
};

struct WorkspaceConfig
{
    std::string name;
    std::string keyHash; ///< Hash of the workspace's key for the administration API, hexadecimal.

    friend bool operator==(const WorkspaceConfig &, const WorkspaceConfig &) = default;
};

/// \brief The configuration at one revision; immutable once in force.
struct Config
{
    Revision revision;
    KeyEpoch keyEpoch{1};
    std::map<std::string, WorkspaceConfig> workspaces;
    std::map<ServiceId, ServiceConfig> services;
    std::vector<QuarantinedAddress> quarantine;
    std::map<std::string, DomainEvacuation> evacuations; ///< By failure domain.

    /// \return The service, or null.
    [[nodiscard]] const ServiceConfig *service(ServiceId id) const noexcept;
    /// \return The target of \a service, or null.
    [[nodiscard]] const TargetConfig *target(ServiceId service, TargetId id) const noexcept;

    friend bool operator==(const Config &, const Config &) = default;
};

using ConfigPtr = std::shared_ptr<const Config>;

} // namespace baobabtrail
