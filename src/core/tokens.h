#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>

namespace baobabtrail {

/// \brief Message authentication code: SipHash-2-4 with a 128-bit result.
using Mac = std::array<std::byte, 16>;

/// \brief Binds a flow to its target. Any daemon can verify it without a flow table.
///
/// It holds the target's address besides its id and generation, so that a daemon whose
/// configuration is older than the token can still forward. A daemon whose configuration is newer
/// refuses a target that has since been cut, since its address may now belong to something else.
struct FlowToken
{
    ServiceId service;
    TargetId target;
    Generation generation;
    Endpoint address;
    Revision revision; ///< Revision of the configuration with which the flow was placed.
    KeyEpoch epoch;
    Mac mac{}; ///< Covers all fields above and the flow id.

    friend bool operator==(const FlowToken &, const FlowToken &) noexcept = default;
};

/// \brief Names the owner of a request: the only daemon that may dispatch it.
struct ReservationToken
{
    DaemonId owner;
    /// A restarted owner recognizes by it that the reservation was made before the restart.
    Incarnation incarnation;
    ServiceId service;
    /// Peer address, so that a daemon that doesn't know the owner can hand the request over.
    Endpoint ownerAddress;
    TimePoint deadline; ///< By the owner's clock; meaningless to other daemons.
    KeyEpoch epoch;
    Mac mac{}; ///< Covers all fields above and the request id.

    friend bool operator==(const ReservationToken &, const ReservationToken &) noexcept = default;
};

/// \brief Result of verifying a token.
enum class TokenError {
    None,
    UnknownEpoch, ///< The key is not known: the token is too old, too new, or forged.
    BadMac,       ///< Forged, damaged, or issued for another flow, service or request.
};

} // namespace baobabtrail
