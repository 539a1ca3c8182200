#pragma once

#include "core/ids.h"
#include "core/load.h"
#include "core/time.h"

namespace baobabtrail {

/// \brief Health of a target as its owner has observed it.
enum class TargetHealth {
    Unverified, ///< Has not yet reported which service it serves.
    Good,
    Warming,  ///< New or readmitted; gets a growing share.
    Ejected,  ///< Does not answer; gets only probes.
    Mismatch, ///< Reports that it serves another service; gets no work.
};

/// \brief State of a target as its owner sees it.
struct TargetStatus
{
    TargetId target;
    ServiceId service;
    TargetHealth health = TargetHealth::Unverified;
    double concurrencyLimit = 0;
    std::uint32_t running = 0; ///< Attempts of this owner that run now.
    std::uint32_t waiting = 0; ///< Reserved or queued at this owner.
    LoadReport reported;       ///< Last load report of the target.
    Duration reportAge{0};
};

} // namespace baobabtrail
