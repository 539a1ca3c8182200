#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language {

/// \brief Keeps the rows of a table that pass all filters.
/// \return The table, or what is wrong with the filters: columns that it does not have.
[[nodiscard]] Result filterRows(Result table, const std::vector<Filter> &filters);

} // namespace baobabtrail::language
