#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/messages/peer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A daemon as seen by the membership protocol.
struct Member
{
    DaemonId id;
    Incarnation incarnation;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< HTTP over TCP.
    std::string domain;
    MemberState state = MemberState::Alive;
    Revision revision;

    friend bool operator==(const Member &, const Member &) = default;
};

/// \brief The daemons that are considered alive. The views of two daemons may differ at any time,
/// so no safety property may depend on them, only load balancing.
struct View
{
    DaemonId self;
    std::string domain;          ///< Failure domain of this daemon.
    std::vector<Member> members; ///< Members of this domain, this daemon included, ordered by id.
    std::map<std::string, std::vector<Member>>
        remote; ///< Other domains, from the VM list and rumors.

    /// \brief Selects the owner of a target of this domain by rendezvous hashing over the members
    /// that are alive or suspect.
    /// \return The owner, or null if no member may own targets.
    [[nodiscard]] const Member *ownerOf(TargetId target) const noexcept;
    /// \return The member of this domain with this id, or null.
    [[nodiscard]] const Member *find(DaemonId id) const noexcept;

    friend bool operator==(const View &, const View &) = default;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace baobabtrail
