#pragma once

#include "core/config/change.h"
#include "core/config/finding.h"

namespace baobabtrail {

/// \brief A quarantined address that a record assigns to a target of another service.
struct QuarantineUse
{
    std::string place; ///< The command that assigns the address. \see Finding::place
    Endpoint address;
    Revision since; ///< Revision from which the previous target received no new work.
};

/// \brief Result of applying a record to a configuration.
struct ApplyResult
{
    Config next; ///< The new configuration; meaningless if there are findings.
    Findings findings;
    /// Quarantined addresses that the record reuses. Whether that is safe depends on what the
    /// daemons have applied, so it must be checked when the record is accepted. It must not be
    /// checked when the record is replayed, since daemons have different knowledge of each other.
    std::vector<QuarantineUse> quarantined;
    std::vector<std::string> effects; ///< Description of the changes, one line each.
};

/// \brief Computes the configuration that results from \a record.
///
/// Deterministic: every daemon gets the same result from the same record.
///
/// \code
/// ApplyResult result = applyRecord(*config, record);
/// if (!result.findings.empty())
///     report(result.findings);
/// \endcode
/// \param record Its revision must be the one after the configuration's; any other is a finding.
[[nodiscard]] ApplyResult applyRecord(const Config &config, const ChangeRecord &record);

[[nodiscard]] std::string_view toString(TargetState state) noexcept;

} // namespace baobabtrail
