#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \brief Explains where this daemon forwards the datagrams of a flow, and why.
[[nodiscard]] Result explain(const Backend &backend, const Caller &caller,
                             const ExplainFlow &statement);

/// \brief Names the daemon that owns a request, and that owner's member state as seen from here.
[[nodiscard]] Result explain(const Backend &backend, const Caller &caller,
                             const ExplainRequest &statement);

} // namespace baobabtrail::language::impl
