#pragma once

#include "language/backend.h"
#include "language/statement.h"

#include <optional>
#include <string_view>

namespace baobabtrail::language {

/// \return Index of the named column, or std::nullopt where the table has no such column.
[[nodiscard]] std::optional<std::size_t> columnOf(const Result &table, std::string_view column);

/// \brief Removes the rows of a table that do not match all filters.
/// \return The table, or Status::Usage with a message for each filter on an unknown column.
[[nodiscard]] Result filterRows(Result table, const std::vector<Filter> &filters);

} // namespace baobabtrail::language
