#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \return The rows of a table that the caller may see and that match the filters.
[[nodiscard]] Result showTable(const Backend &backend, const Caller &caller, const Show &show);

/// \return One row for each member that a failure domain reports, with its revision in force.
[[nodiscard]] Result revisionTable(const std::vector<DomainStatus> &domains);

/// \return Whether a change was accepted, and on how many daemons it is in force.
[[nodiscard]] Result changeStatus(const Backend &backend, const Caller &caller,
                                  const std::string &changeId,
                                  const std::vector<DomainStatus> &domains);

/// \return The outcome of a proposal, as shown to its author.
[[nodiscard]] Result proposalResult(const ProposalOutcome &outcome, const std::string &changeId);

} // namespace baobabtrail::language::impl
