#pragma once

#include "core/config/config.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Name of a service as operators write it: workspace and service.
struct ServiceName
{
    std::string workspace;
    std::string service;

    friend bool operator==(const ServiceName &, const ServiceName &) = default;
};

/// \brief Name of a target as operators write it: workspace, service and target.
struct TargetName
{
    ServiceName service;
    std::string target;

    friend bool operator==(const TargetName &, const TargetName &) = default;
};

struct DeclareWorkspace
{
    std::string workspace;
    std::string keyHash;
};
struct DeclareService
{
    ServiceName service;
    ServiceLimits limits;
};
struct AddTarget
{
    TargetName target;
    std::string domain;
    Endpoint flows;
    Endpoint requests;
    std::uint32_t slots = 1;
    std::uint32_t weight = 100;
};
struct DrainTarget
{
    TargetName target;
};
struct UndrainTarget
{
    TargetName target;
};
struct RetireTarget
{
    TargetName target;
};
/// \brief Completes a RetireTarget. The target's owner issues it once the target holds no flow and
/// runs no request.
struct RemoveTarget
{
    TargetName target;
    Generation generation;
};
struct CutTarget
{
    TargetName target;
};
struct SetLimits
{
    ServiceName service;
    ServiceLimits limits;
};
struct SetWeight
{
    TargetName target;
    std::uint32_t weight = 100;
};
/// \brief Moves a target to another service: removes it from its service and adds it to \a to with
/// the same addresses.
struct MoveTarget
{
    TargetName target;
    ServiceName to;
};
struct RotateKeys
{
    KeyEpoch epoch;
};
/// \brief Stops new work to all targets of a failure domain; their flows and requests continue.
struct EvacuateDomain
{
    std::string domain;
};
struct RestoreDomain
{
    std::string domain;
};

using Command = std::variant<DeclareWorkspace, DeclareService, AddTarget, DrainTarget,
                             UndrainTarget, RetireTarget, RemoveTarget, CutTarget, SetLimits,
                             SetWeight, MoveTarget, RotateKeys, EvacuateDomain, RestoreDomain>;

/// \brief One record of the configuration log: commands that are applied atomically.
struct ChangeRecord
{
    Revision revision;
    std::string changeId; ///< Idempotency key, chosen by whoever requests the change.
    std::string author;
    std::string workspace; ///< Workspace whose key was used; empty for a system-wide operator.
    std::int64_t unixSeconds = 0;
    /// How long addresses that this record releases stay in quarantine. Stored in the record so
    /// that daemons with different settings compute the same configuration.
    std::int64_t quarantineSeconds = 600;
    std::vector<Command> commands; ///< Applied all together or not at all.
};

} // namespace baobabtrail
