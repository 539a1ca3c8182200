#pragma once

/// \file
/// \brief Converts queries and answers between daemons to and from HTTP messages.

#include "core/directory/peer_view.h"
#include "daemon/admin/http_server.h"
#include "net/http_client.h"

namespace baobabtrail::daemon {

/// \return The HTTP call that queries another daemon.
[[nodiscard]] HttpCall peerCall(const Endpoint &peer, const PeerQuery &query,
                                const QueryTimeouts &timeouts);
/// \return The peer's answer, or why there is none.
[[nodiscard]] PeerResult peerResult(const HttpResult &result);

/// \return The query in a request; nothing if the request isn't a valid query.
[[nodiscard]] std::optional<PeerQuery> parsePeerQuery(const HttpRequest &request);
/// \brief Converts the answer to a query into an HTTP response, compressed if the client accepts
/// it. \param request The request that held the query. \param reply Without a value, the response
/// is 503.
[[nodiscard]] HttpReply peerResponse(const HttpRequest &request, const PeerReply &reply);

} // namespace baobabtrail::daemon
