#pragma once

#include "daemon/direct/direct_tables.h"

namespace baobabtrail::daemon {

/// \brief Load of each service in each failure domain, as all daemons report it together, and what
/// this daemon does with new flows because of it.
/// \return A row for each service and domain; none where the usage is unknown.
[[nodiscard]] language::Result loadTable(const DirectBackend &backend);

} // namespace baobabtrail::daemon
