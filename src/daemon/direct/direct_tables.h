#pragma once

#include "core/direct/direct_node.h"
#include "language/backend.h"

#include <functional>
#include <string>

namespace baobabtrail::daemon {

/// \brief What the operators' language can ask a daemon whose targets answer callers directly.
struct DirectBackend
{
    std::string name;
    std::string domain;
    Endpoint peers; ///< Where other daemons ask this one.
    const DirectNode *node = nullptr;
    TimePoint now{};
    std::function<std::string()> metrics; ///< Text of the metrics page.
};

/// \brief Runs one statement that shows something. Routes and targets are changed in the platform's
/// store, so commands are refused, and say so.
///
/// | statement | rows |
/// |---|---|
/// | show targets, show drains | targets with the inputs of their choice; those that leave |
/// | show services | services with their routes and targets |
/// | show daemons, show revision | this daemon and its view; the roots that it knows |
/// | show distribution | each collection: where it comes from, how old it is, and why |
/// | show metrics, help | |
[[nodiscard]] language::Result executeDirect(const DirectBackend &backend, const std::string &text);

} // namespace baobabtrail::daemon
