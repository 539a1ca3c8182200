#pragma once

#include "core/config/change.h"
#include "core/config/finding.h"

namespace baobabtrail {

/// \brief An address that a record takes although another service's target had it not long ago.
struct QuarantineUse
{
    std::string place;
    Endpoint address;
    Revision since; ///< Revision from which on the old target got no new work.
};

/// \brief What a record makes of a configuration.
struct ApplyResult
{
    Config next; ///< Only of use where there are no findings.
    Findings findings;
    /// Addresses that only knowledge about the daemons can release. Whoever accepts the record
    /// has to check it; whoever replays it must not, since daemons know different things.
    std::vector<QuarantineUse> quarantined;
    std::vector<std::string> effects; ///< What changes, one line each.
};

/// \brief Works out the configuration after \a record; the same on every daemon.
///
/// \code
/// ApplyResult result = applyRecord(*config, record);
/// if (!result.findings.empty())
///     report(result.findings);
/// \endcode
/// \param record Its revision is the one after the configuration's.
[[nodiscard]] ApplyResult applyRecord(const Config &config, const ChangeRecord &record);

[[nodiscard]] std::string_view toString(TargetState state) noexcept;

} // namespace baobabtrail
