#pragma once

#include "core/ids.h"

#include <cstdint>

namespace baobabtrail {

/// \brief What a target says of its own load; it may be late or false, so it only corrects
/// evidence.
struct LoadReport
{
    std::uint32_t running = 0;     ///< Requests in a slot now.
    std::uint32_t queued = 0;      ///< Requests that wait at the target.
    std::uint32_t connections = 0; ///< Flows that the target holds.

    friend bool operator==(const LoadReport &, const LoadReport &) noexcept = default;
};

/// \brief Load of one target as its owner sees it; rides on answers between daemons.
struct LoadHint
{
    TargetId target;
    float requests = 0.0F; ///< Requests in flight, queued and reserved, over the concurrency limit.
    float flows = 0.0F;    ///< Flows held over the target's weight.

    friend bool operator==(const LoadHint &, const LoadHint &) noexcept = default;
};

} // namespace baobabtrail
