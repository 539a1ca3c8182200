#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/messages/peer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A daemon as the membership sees it.
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

/// \brief Who is believed to be alive. Two daemons' views may differ at any time: nothing that
/// must hold may rest on one, only balance.
struct View
{
    DaemonId self;
    std::string domain;          ///< Of this daemon.
    std::vector<Member> members; ///< Of this domain, this daemon included, by id.
    std::map<std::string, std::vector<Member>> remote; ///< Other domains, from the VM list.

    /// \brief Owner of a target of this domain by rendezvous hash over the members that are
    /// alive or suspect.
    /// \return The owner, or null where no member may own targets.
    [[nodiscard]] const Member *ownerOf(TargetId target) const noexcept;
    /// \return The member of this domain, or null.
    [[nodiscard]] const Member *find(DaemonId id) const noexcept;

    friend bool operator==(const View &, const View &) = default;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace baobabtrail
