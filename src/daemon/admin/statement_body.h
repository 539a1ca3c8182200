#pragma once

#include "daemon/admin/http_server.h"
#include "language/backend.h"

#include <string>
#include <string_view>
#include <variant>

/// \file
/// \brief How a statement of the operators' language travels over HTTP, for daemons of either kind.

namespace baobabtrail::daemon {

/// Where statements are posted.
inline constexpr std::string_view StatementPath = "/v1/execute";

/// \return The request, or what is wrong with the body.
[[nodiscard]] std::variant<language::Request, std::string>
readStatementBody(const std::string &body);

[[nodiscard]] HttpReply resultReply(unsigned httpStatus, const language::Result &result);
/// \brief Tells the caller what is wrong with its request.
[[nodiscard]] HttpReply usageReply(unsigned httpStatus, std::string finding);

} // namespace baobabtrail::daemon
