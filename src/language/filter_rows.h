#pragma once

#include "language/backend.h"
#include "language/statement.h"

#include <optional>
#include <string_view>

namespace baobabtrail::language {

/// \return Place of a column among the table's, or nothing where it has none of that name.
[[nodiscard]] std::optional<std::size_t> columnOf(const Result &table, std::string_view column);

/// \brief Keeps the rows of a table that pass all filters.
/// \return The table, or what is wrong with the filters: columns that it does not have.
[[nodiscard]] Result filterRows(Result table, const std::vector<Filter> &filters);

} // namespace baobabtrail::language
