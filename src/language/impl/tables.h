#pragma once

#include "language/backend.h"
#include "language/statement.h"

namespace baobabtrail::language::impl {

using Rows = std::vector<std::vector<std::string>>;

[[nodiscard]] Result servicesTable(const Backend &backend);
[[nodiscard]] Result targetsTable(const Backend &backend);
[[nodiscard]] Result daemonsTable(const Backend &backend);
[[nodiscard]] Result changesTable(const Backend &backend);
/// \brief Targets that are leaving, and what each still holds.
[[nodiscard]] Result drainsTable(const Backend &backend);
/// \brief Failure domains: which are evacuated, and what this daemon's targets there still hold.
[[nodiscard]] Result domainsTable(const Backend &backend);

[[nodiscard]] std::string toString(MemberState state);
[[nodiscard]] std::string toString(TargetHealth health);
[[nodiscard]] std::string describe(const Command &command);

} // namespace baobabtrail::language::impl
