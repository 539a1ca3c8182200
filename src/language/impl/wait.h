#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

/// \brief Asks again and again until the subject is in force on every live daemon of every failure
/// domain, or the time is up; then names the daemons and domains that are missing.
void waitUntilInForce(const Backend &backend, const Wait &wait,
                      const std::function<void(Result)> &done);

} // namespace baobabtrail::language::impl
