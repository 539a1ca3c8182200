#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \brief Polls until a revision or change is in force on every live daemon of every failure
/// domain. On timeout, the result names the daemons and failure domains that are missing.
void waitUntilInForce(const Backend &backend, const Wait &wait,
                      const std::function<void(Result)> &done);

} // namespace baobabtrail::language::impl
