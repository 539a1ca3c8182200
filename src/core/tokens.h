#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>

namespace baobabtrail {

/// \brief Message authentication code: SipHash-2-4 with a 128-bit result.
using Mac = std::array<std::byte, 16>;

/// \brief Says which target a flow belongs to; any daemon can check it and needs no flow table.
///
/// It holds the target's address as well as its id and generation, so that a daemon whose
/// configuration is older than the token can still forward; one whose configuration is newer
/// refuses a target that has since been cut, whose address may serve something else by now.
struct FlowToken
{
    ServiceId service;
    TargetId target;
    Generation generation;
    Endpoint address;
    Revision revision; ///< Configuration by which the flow was placed.
    KeyEpoch epoch;
    Mac mac{}; ///< Over all of the above and the flow id.

    friend bool operator==(const FlowToken &, const FlowToken &) noexcept = default;
};

/// \brief Says which daemon alone may dispatch a request.
struct ReservationToken
{
    DaemonId owner;
    Incarnation incarnation; ///< A restarted owner knows by it that the reservation is not its own.
    ServiceId service;
    Endpoint
        ownerAddress; ///< Peer address, so that a daemon that doesn't know the owner can hand over.
    TimePoint deadline; ///< On the owner's own clock; no other daemon reads it.
    KeyEpoch epoch;
    Mac mac{}; ///< Over all of the above and the request id.

    friend bool operator==(const ReservationToken &, const ReservationToken &) noexcept = default;
};

/// \brief Why a token was not accepted.
enum class TokenError {
    None,
    UnknownEpoch, ///< Key not known: too old, too new, or forged.
    BadMac,       ///< Forged, damaged, or made for another flow, service or request.
};

} // namespace baobabtrail
