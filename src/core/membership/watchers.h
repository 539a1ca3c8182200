#pragma once

#include "core/membership/view.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// \file
/// \brief Which daemons of a failure domain talk to the platform for all of it.

namespace baobabtrail {

/// \brief Orders the members of a domain by rendezvous hash; the first few are its watchers.
///
/// Every daemon works this out from its own view. Where views differ, a domain has a watcher more
/// or another one for a while, which costs some calls and nothing else.
/// \return Members that are alive or suspect, the first watcher first; \a count at most.
[[nodiscard]] std::vector<const Member *>
watchersOf(std::string_view domain, const std::vector<Member> &members, std::size_t count);

/// \return Place of \a id among the first \a count, or nothing where it is not one of them.
[[nodiscard]] std::optional<std::size_t> watcherRank(std::string_view domain,
                                                     const std::vector<Member> &members,
                                                     std::size_t count, DaemonId id);

} // namespace baobabtrail
