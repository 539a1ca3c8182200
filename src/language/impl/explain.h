#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \brief What this daemon does with the datagrams of a flow, and why.
[[nodiscard]] Result explain(const Backend &backend, const Caller &caller,
                             const ExplainFlow &statement);

/// \brief Which daemon owns a request, and whether this one knows it to be alive.
[[nodiscard]] Result explain(const Backend &backend, const Caller &caller,
                             const ExplainRequest &statement);

} // namespace baobabtrail::language::impl
