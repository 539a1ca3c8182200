#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \brief The rows of a table that the caller may see and that pass the filters.
[[nodiscard]] Result showTable(const Backend &backend, const Caller &caller, const Show &show);

/// \brief One row for each daemon that some failure domain knows, with the revision in force there.
[[nodiscard]] Result revisionTable(const std::vector<DomainStatus> &domains);

/// \brief Whether a change is in the log, and how many daemons have it in force.
[[nodiscard]] Result changeStatus(const Backend &backend, const Caller &caller,
                                  const std::string &changeId,
                                  const std::vector<DomainStatus> &domains);

/// \brief What became of a proposal, for the one who made it.
[[nodiscard]] Result proposalResult(const ProposalOutcome &outcome, const std::string &changeId);

} // namespace baobabtrail::language::impl
