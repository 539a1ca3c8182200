#pragma once

#include "core/ids.h"

#include <cstdint>

namespace baobabtrail {

/// \brief Load as reported by the target itself. It may be late or wrong, so it only corrects what
/// the daemon measures.
struct LoadReport
{
    std::uint32_t running = 0;     ///< Requests that occupy a slot.
    std::uint32_t queued = 0;      ///< Requests queued at the target.
    std::uint32_t connections = 0; ///< Flows that the target holds.

    friend bool operator==(const LoadReport &, const LoadReport &) noexcept = default;
};

/// \brief Load of a target as seen by its owner; piggybacked on answers between daemons.
struct LoadHint
{
    TargetId target;
    float requests = 0.0F; ///< In flight, queued and reserved, divided by the concurrency limit.
    float flows = 0.0F;    ///< Flows divided by the target's weight.

    friend bool operator==(const LoadHint &, const LoadHint &) noexcept = default;
};

} // namespace baobabtrail
