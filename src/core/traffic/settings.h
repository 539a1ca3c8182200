#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>

namespace baobabtrail {

/// \brief Identity of this daemon, from its settings file.
struct NodeIdentity
{
    DaemonId daemon;
    Incarnation incarnation;
    std::string domain;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< HTTP over TCP.
};

/// \brief Limits and timeouts of the traffic side, with the product's defaults.
struct TrafficSettings
{
    std::size_t maxRequests = 65536;       ///< Request records at a time.
    std::size_t maxPendingOpens = 65536;   ///< Flows that wait for a target's answer to their open.
    std::uint32_t maxHops = 2;             ///< Forwards of one handoff from owner to owner.
    Duration maxDeadline = 120s;           ///< Longer deadlines of callers are reduced to this.
    Duration reservationLapse = 1s;        ///< A reservation without its request is freed after it.
    Duration openTimeout = 300ms;          ///< A target that hasn't answered an open after this
                                           ///< counts as not answering.
    std::uint32_t silentAfter = 3;         ///< Unanswered keep-alives after which a flow is silent.
    std::uint32_t maxAnswerResends = 8;    ///< Retransmissions of one answer.
    std::size_t maxAnswerBytes = 64 << 20; ///< Retained answers; beyond it requests are refused.
    std::size_t answerPartBytes = 1200;    ///< Payload of one part of an answer, in a datagram.
};

} // namespace baobabtrail
