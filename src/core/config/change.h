#pragma once

#include "core/config/config.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace baobabtrail {

/// \brief Names a service as operators do.
struct ServiceName
{
    std::string workspace;
    std::string service;

    friend bool operator==(const ServiceName &, const ServiceName &) = default;
};

/// \brief Names a target as operators do.
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
/// \brief Ends a retire; issued by the target's owner once the target holds nothing.
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
/// \brief Gives a target's addresses to another service: removes it here, declares it there.
struct MoveTarget
{
    TargetName target;
    ServiceName to;
};
struct RotateKeys
{
    KeyEpoch epoch;
};
/// \brief The domain's targets get no new work; flows and requests that they hold stay.
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

/// \brief One entry of the log of changes.
struct ChangeRecord
{
    Revision revision;
    std::string changeId; ///< Chosen by whoever asks for the change; makes asking again harmless.
    std::string author;
    std::string workspace; ///< Whose key was used; empty for an operator of the whole system.
    std::int64_t unixSeconds = 0;
    /// How long addresses that this record frees stay in quarantine. It travels in the record, so
    /// that daemons with other settings work out the same configuration.
    std::int64_t quarantineSeconds = 600;
    std::vector<Command> commands; ///< In force together or not at all.
};

} // namespace baobabtrail
