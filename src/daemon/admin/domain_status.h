#pragma once

#include "core/membership/view.h"
#include "core/messages/records.h"

#include <functional>
#include <optional>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Fetches the status of a daemon; the handler gets nothing where it does not answer.
using StatusFetch = std::function<void(const Endpoint &records,
                                       std::function<void(std::optional<DomainStatus>)>)>;

/// \brief Collects the current status of every failure domain.
///
/// Queries one daemon of each other domain, trying up to three in turn. In the local domain it
/// queries the members whose last known revision is older than this daemon's: revisions are
/// announced with pings, so a member may have a newer one well before that is known here.
/// \param local This daemon's status.
/// \param view The known members of all domains.
/// \param fetch Queries one daemon.
/// \param done Called once; a domain of which no daemon answered is left out.
void collectDomainStatus(DomainStatus local, const View &view, StatusFetch fetch,
                         std::function<void(std::vector<DomainStatus>)> done);

} // namespace baobabtrail::daemon
