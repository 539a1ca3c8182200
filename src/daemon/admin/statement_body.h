#pragma once

#include "daemon/admin/http_server.h"
#include "language/backend.h"

#include <string>
#include <string_view>
#include <variant>

/// \file
/// \brief HTTP encoding of statements of the operators' language and of their results, for both
/// kinds of daemon.

namespace baobabtrail::daemon {

/// Path to which statements are posted.
inline constexpr std::string_view StatementPath = "/v1/execute";

/// \return The request, or a text that says what is wrong with the body.
[[nodiscard]] std::variant<language::Request, std::string>
readStatementBody(const std::string &body);

[[nodiscard]] HttpReply resultReply(unsigned httpStatus, const language::Result &result);
/// \return A reply that reports what is wrong with the caller's request.
[[nodiscard]] HttpReply usageReply(unsigned httpStatus, std::string finding);

} // namespace baobabtrail::daemon
