#pragma once

#include "core/membership/view.h"
#include "core/messages/records.h"

#include <functional>
#include <optional>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Asks a daemon for its status; the handler gets nothing where it does not answer.
using StatusFetch = std::function<void(const Endpoint &records,
                                       std::function<void(std::optional<DomainStatus>)>)>;

/// \brief Collects the status of every failure domain, asked for afresh.
///
/// One daemon of each other domain is asked, up to three in a row. In its own domain it asks those
/// members whose revision is older than the newest known here: news of a revision spreads with
/// pings, and a member may have it well before its news has come.
/// \param local This daemon's own status.
/// \param done Called once; a domain none of whose daemons answered is left out.
void collectDomainStatus(DomainStatus local, const View &view, StatusFetch fetch,
                         std::function<void(std::vector<DomainStatus>)> done);

} // namespace baobabtrail::daemon
