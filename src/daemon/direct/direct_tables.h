#pragma once

#include "core/direct/direct_node.h"
#include "language/backend.h"

#include <functional>
#include <string>

namespace baobabtrail::daemon {

/// \brief The state that statements of the operators' language can read from a daemon that
/// forwards directly.
struct DirectBackend
{
    std::string name;
    std::string domain;
    Endpoint peers; ///< Address by which other daemons know this one.
    const DirectNode *node = nullptr;
    TimePoint now{};
    std::function<std::string()> metrics; ///< Returns the text of the metrics page.
};

/// \brief Executes one read-only statement.
///
/// Commands are refused with a message that says where to make the change instead: routes and
/// targets are changed in the platform's store.
///
/// | statement | rows |
/// |---|---|
/// | show targets, show drains | targets with the inputs of target selection; only leaving ones |
/// | show services | services with their routes and targets |
/// | show daemons, show revision | this daemon and its view; the roots that it knows |
/// | show load | services by failure domain: load of all daemons, and the plan that follows |
/// | show distribution | each collection: its source, its age, and why it is old |
/// | show metrics, help | |
[[nodiscard]] language::Result executeDirect(const DirectBackend &backend, const std::string &text);

} // namespace baobabtrail::daemon
