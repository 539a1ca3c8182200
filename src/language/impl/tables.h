#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

using Rows = std::vector<std::vector<std::string>>;

[[nodiscard]] Result servicesTable(const Backend &backend);
[[nodiscard]] Result targetsTable(const Backend &backend);
[[nodiscard]] Result daemonsTable(const Backend &backend);
[[nodiscard]] Result changesTable(const Backend &backend);
/// \brief Draining and retiring targets, with their remaining connections and requests.
[[nodiscard]] Result drainsTable(const Backend &backend);
/// \brief Failure domains: whether each is evacuated, and the connections and requests that remain
/// there on targets owned by this daemon.
[[nodiscard]] Result domainsTable(const Backend &backend);

[[nodiscard]] std::string toString(MemberState state);
[[nodiscard]] std::string toString(TargetHealth health);
[[nodiscard]] std::string describe(const Command &command);

} // namespace baobabtrail::language::impl
