#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief What operators want of a target.
enum class TargetState {
    Active,
    Draining, ///< No new work; flows stay until they end. Can be undone.
    Retiring, ///< As Draining, and removed once it holds no flow and runs no request.
    Cut,      ///< Flows are reset; the only state that breaks flows, only by explicit command.
};

struct TargetConfig
{
    TargetId id;
    Generation generation;
    std::string name;
    std::string domain;
    Endpoint flows;    ///< UDP.
    Endpoint requests; ///< TCP.
    TargetState state = TargetState::Active;
    bool evacuated = false;     ///< Its failure domain is. \see Config::evacuations
    std::uint32_t slots = 1;    ///< Requests that it runs at once.
    std::uint32_t weight = 100; ///< Share of new flows, relative to the other targets.
    Revision stateSince;
    std::int64_t stateSinceUnixSeconds = 0; ///< Wall clock of the daemon that accepted the state.

    /// \return Whether it may get new work, as far as operators want.
    [[nodiscard]] bool takesWork() const noexcept
    {
        return state == TargetState::Active && !evacuated;
    }

    friend bool operator==(const TargetConfig &, const TargetConfig &) = default;
};

/// \brief Bounds of a service; each has a default that suits the sizes of docs/CAPACITY.md.
struct ServiceLimits
{
    std::uint32_t queuePerSlot = 4; ///< Requests that wait at an owner for each slot of a target.
    std::uint32_t workspaceShare = 100; ///< Weight of the workspace in a daemon's full queues.
    std::uint32_t retryPercent = 10;    ///< Retries allowed for every hundred first attempts.

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

/// \brief An address that a target has left and that no other service may take yet.
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

/// \brief The configuration at one revision; never changed once made.
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
