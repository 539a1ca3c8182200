#pragma once

#include "core/membership/view.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// \file
/// \brief Selection of the watchers: the daemons that poll the platform for their failure domain.

namespace baobabtrail {

/// \brief Selects the watchers of a domain: the first members in the order of a rendezvous hash.
///
/// Every daemon computes this from its own view. Where views differ, a domain has an extra or a
/// different watcher for a while, which only costs some calls to the platform.
/// \return At most \a count members that are alive or suspect, by rank.
[[nodiscard]] std::vector<const Member *>
watchersOf(std::string_view domain, const std::vector<Member> &members, std::size_t count);

/// \return Rank of \a id among the first \a count, or nullopt if it is not one of them.
[[nodiscard]] std::optional<std::size_t> watcherRank(std::string_view domain,
                                                     const std::vector<Member> &members,
                                                     std::size_t count, DaemonId id);

} // namespace baobabtrail
