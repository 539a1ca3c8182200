#pragma once

/// \file
/// \brief Requests for records and their answers as HTTP messages.

#include "core/time.h"
#include "daemon/admin/http_server.h"
#include "net/http_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::daemon {

/// \return The call that asks a peer for records.
/// \param timeout From the call to the end of the answer.
[[nodiscard]] HttpCall recordsCall(const Endpoint &peer, const std::string &request,
                                   Duration timeout);
/// \return What that call brought, or nothing where the peer did not answer.
[[nodiscard]] std::optional<std::string> recordsAnswer(HttpResult result);

/// \brief Makes the answer to a request for records, or nothing where it is not to be answered.
using ServeRecords = std::function<std::optional<std::string>(std::string_view request)>;

/// \return The reply to whatever came; only requests for records reach \a serve.
[[nodiscard]] HttpReply recordsReply(const HttpRequest &request, const ServeRecords &serve);

} // namespace baobabtrail::daemon
