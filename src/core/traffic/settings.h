#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>

namespace baobabtrail {

/// \brief Who this daemon is; from its settings file.
struct NodeIdentity
{
    DaemonId daemon;
    Incarnation incarnation;
    std::string domain;
    Endpoint address; ///< Peer address (UDP).
    Endpoint records; ///< HTTP over TCP.
};

/// \brief Bounds and times of the traffic side; the defaults are the product's.
struct TrafficSettings
{
    std::size_t maxRequests = 65536;       ///< Request records that are kept at once.
    std::size_t maxPendingOpens = 65536;   ///< Opens that wait for a target's answer.
    std::uint32_t maxHops = 2;             ///< Forwards of one ask from owner to owner.
    Duration maxDeadline = 120s;           ///< Longer deadlines of callers are cut to this.
    Duration reservationLapse = 1s;        ///< A reservation whose request has not come is freed.
    Duration openTimeout = 300ms;          ///< A target that hasn't answered an open by then is
                                           ///< counted as not answering.
    std::uint32_t silentAfter = 3;         ///< Unanswered keep-alives that make a flow silent.
    std::uint32_t maxAnswerResends = 8;    ///< Answers sent again for one request.
    std::size_t maxAnswerBytes = 64 << 20; ///< Answers kept; beyond it no new request is taken.
    std::size_t answerPartBytes = 1200;    ///< Payload of one part of an answer.
};

} // namespace baobabtrail
