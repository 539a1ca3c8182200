#pragma once

/// \file
/// \brief Platform calls as HTTP requests, and HTTP responses as results.

#include "core/messages/platform.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace baobabtrail::impl {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \return \a text with every byte escaped that has a meaning in a path or query; slashes stay.
[[nodiscard]] std::string percentEncode(std::string_view text);

[[nodiscard]] HttpRequest toHttp(const PlatformRequest &request, const Endpoint &platform);

/// \return What the response means for the request; a PlatformFailure for whatever the table in
/// client.h does not name.
[[nodiscard]] PlatformResult toResult(const PlatformRequest &request, const HttpResponse &response);

/// \return Whether a call may be sent again without harm when it is not known to have arrived.
[[nodiscard]] bool isRead(const PlatformRequest &request) noexcept;

} // namespace baobabtrail::impl
