#pragma once

/// \file
/// \brief Questions and answers between daemons as HTTP messages.

#include "core/directory/peer_view.h"
#include "daemon/admin/http_server.h"
#include "net/http_client.h"

namespace baobabtrail::daemon {

/// \return The call that asks another daemon.
[[nodiscard]] HttpCall peerCall(const Endpoint &peer, const PeerQuery &query,
                                const QueryTimeouts &timeouts);
/// \return What that call brought.
[[nodiscard]] PeerResult peerResult(const HttpResult &result);

/// \return The question that a request asks, or nothing where it asks none.
[[nodiscard]] std::optional<PeerQuery> parsePeerQuery(const HttpRequest &request);
/// \return The response to that request.
[[nodiscard]] HttpReply peerResponse(const HttpRequest &request, const PeerReply &reply);

} // namespace baobabtrail::daemon
