#pragma once

#include "core/config/change.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace baobabtrail::language {

enum class Table { Services, Targets, Daemons, Changes, Drains, Distribution, Domains };

/// \brief Keeps the rows whose column has, or has not, a value.
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
/// \brief The fate of one change.
struct ShowChange
{
    std::string changeId;
};
struct ShowMetrics
{
};
/// \brief Commands that come into force together or not at all.
struct Change
{
    std::vector<Command> commands;
};
inline constexpr Duration DefaultWait = 30s;

/// \brief Returns when a revision or a change is in force on every live daemon.
struct Wait
{
    std::variant<Revision, std::string> subject;
    Duration timeout = DefaultWait;
};
/// \brief Where the datagrams of a flow go, and why.
struct ExplainFlow
{
    FlowId flow;
    std::string token; ///< Hexadecimal, as the caller got it.
};
/// \brief Which daemon owns a request, and whether it still can be in progress.
struct ExplainRequest
{
    RequestId request;
    std::string token; ///< Hexadecimal, as the caller got it.
};
struct Help
{
};

using Statement = std::variant<Show, ShowRevision, ShowChange, ShowMetrics, Change, Wait,
                               ExplainFlow, ExplainRequest, Help>;

/// \brief A statement that can't be understood, and where.
struct SyntaxError
{
    std::size_t column = 0; ///< From 1.
    std::string expected;   ///< What would have been understood there.
    std::string found;      ///< The text there; empty at the end.
};

} // namespace baobabtrail::language
