#pragma once

/// \file
/// \brief What daemons tell each other about the health of targets.

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief What a daemon has observed of a target.
enum class TargetSign {
    Silent, ///< A probe timed out while another target responded to the same daemon.
    Alive,  ///< It has responded since it was silent.
};

/// Identifies a daemon from its start on; drawn at random.
using ReporterId = StrongId<struct ReporterIdTag>;
/// Hash of the name of a failure domain.
using DomainKey = StrongId<struct DomainKeyTag, std::uint32_t>;

/// \return The key of the failure domain, the same at all daemons.
[[nodiscard]] DomainKey domainKey(std::string_view domain) noexcept;

/// \brief An observation of a target by one daemon.
struct EvidenceReport
{
    TargetId target;
    ReporterId reporter;
    /// Of the reporter. Daemons of one failure domain reach the same targets; what another domain
    /// can't reach may only be cut off from it.
    DomainKey domain;
    std::uint32_t sequence = 0; ///< Counts the reports of the reporter.
    TargetSign sign = TargetSign::Silent;
    Duration age{0};   ///< Time since the observation.
    Duration lasts{0}; ///< From the observation until it counts no longer.
};

/// \brief A datagram with reports of one or several daemons. It may be lost or come twice.
struct EvidenceMessage
{
    std::vector<EvidenceReport> reports;
};

} // namespace baobabtrail
