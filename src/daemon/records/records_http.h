#pragma once

/// \file
/// \brief Mapping of requests for records and their answers to HTTP messages.

#include "core/time.h"
#include "daemon/admin/http_server.h"
#include "net/http_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \brief Makes the HTTP call for a request.
/// \param peer The peer's address for records.
/// \param request The encoded request.
/// \param timeout Limit from the start of the call to the end of the answer.
[[nodiscard]] HttpCall recordsCall(const Endpoint &peer, const std::string &request,
                                   Duration timeout);
/// \return The encoded answer in the result of that call, or nothing where the peer did not answer
/// with success.
[[nodiscard]] std::optional<std::string> recordsAnswer(HttpResult result);

/// \brief Returns the encoded answer to a request, or nothing where the request must be refused.
using ServeRecords = std::function<std::optional<std::string>(std::string_view request)>;

/// \return The reply to an HTTP request; only those on the path for records are passed to \a serve.
[[nodiscard]] HttpReply recordsReply(const HttpRequest &request, const ServeRecords &serve);

} // namespace baobabtrail::daemon
