#pragma once

#include "core/ids.h"
#include "core/load.h"
#include "core/time.h"

namespace baobabtrail {

/// \brief What evidence says of a target.
enum class TargetHealth {
    Unverified, ///< Has not said yet which service it serves.
    Good,
    Warming,  ///< New or back again; gets a growing share.
    Ejected,  ///< Does not answer; probed now and then.
    Mismatch, ///< Says that it serves another service; gets nothing.
};

/// \brief What the owner of a target knows of it.
struct TargetStatus
{
    TargetId target;
    ServiceId service;
    TargetHealth health = TargetHealth::Unverified;
    double concurrencyLimit = 0;
    std::uint32_t running = 0; ///< Attempts of this owner that run now.
    std::uint32_t waiting = 0; ///< Reserved or queued at this owner.
    LoadReport reported;       ///< What the target said last.
    Duration reportAge{0};
};

} // namespace baobabtrail
