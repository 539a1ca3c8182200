#pragma once

#include "core/config/change.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail::language {

enum class Table { Services, Targets, Daemons, Changes, Drains, Distribution, Domains, Load };

/// \brief Condition on one column of a table: COLUMN = VALUE, or COLUMN != VALUE where negated.
struct Filter
{
    std::string column;
    bool negated = false;
    std::string value;
};

struct Show
{
    Table table = Table::Services;
    std::vector<Filter> filters;
};
struct ShowRevision
{
};
/// \brief Asks whether a change was accepted, and on how many daemons it is in force.
struct ShowChange
{
    std::string changeId;
};
struct ShowMetrics
{
};
/// \brief Commands that are applied atomically: all come into force in one revision, or none.
struct Change
{
    std::vector<Command> commands;
};
inline constexpr Duration DefaultWait = 30s;

/// \brief Waits until a revision or a change is in force on every live daemon, or the timeout ends.
struct Wait
{
    std::variant<Revision, std::string> subject;
    Duration timeout = DefaultWait;
};
/// \brief Asks where the datagrams of a flow are forwarded, and why.
struct ExplainFlow
{
    FlowId flow;
    std::string token; ///< Flow token in hexadecimal, as issued to the caller.
};
/// \brief Asks which daemon owns a request, and whether the request may still be in progress.
struct ExplainRequest
{
    RequestId request;
    std::string token; ///< Reservation token in hexadecimal, as issued to the caller.
};
struct Help
{
};

using Statement = std::variant<Show, ShowRevision, ShowChange, ShowMetrics, Change, Wait,
                               ExplainFlow, ExplainRequest, Help>;

/// \brief First syntax error of a statement.
struct SyntaxError
{
    std::size_t column = 0; ///< Counted from 1.
    std::string expected;   ///< What the grammar accepts at this column.
    std::string found;      ///< The word at this column; empty at the end of the statement.
};

} // namespace baobabtrail::language
