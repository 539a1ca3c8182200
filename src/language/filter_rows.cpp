#include "language/filter_rows.h"

#include <algorithm>

namespace baobabtrail::language {

namespace {

[[nodiscard]] std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        if (!text.empty())
            text += ", ";
        text += word;
    }
    return text;
}

/// \return Whether a cell equals the value of a filter. A service also matches as
/// "workspace/service".
[[nodiscard]] bool matches(const Result &result, const std::vector<std::string> &row,
                           std::size_t column, const std::string &value)
{
    if (row[column] == value)
        return true;
    // The tables' columns call workspaces tenants.
    const auto workspace = columnOf(result, "tenant");
    return result.columns[column] == "service" && workspace
           && row[*workspace] + '/' + row[column] == value;
}

} // namespace

std::optional<std::size_t> columnOf(const Result &table, std::string_view column)
{
    const auto found = std::find(table.columns.begin(), table.columns.end(), column);
    if (found == table.columns.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - table.columns.begin());
}

Result filterRows(Result table, const std::vector<Filter> &filters)
{
    std::vector<std::string> findings;
    for (const Filter &filter : filters) {
        if (!columnOf(table, filter.column))
            findings.push_back("this table has no column '" + filter.column
                               + "'; it has: " + joined(table.columns));
    }
    if (!findings.empty())
        return Result{Status::Usage, findings, {}, {}};

    for (const Filter &filter : filters) {
        const std::size_t column = *columnOf(table, filter.column);
        std::erase_if(table.rows, [&](const auto &row) {
            return matches(table, row, column, filter.value) == filter.negated;
        });
    }
    return table;
}

} // namespace baobabtrail::language
