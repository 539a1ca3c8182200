#include "daemon/records/records_http.h"

#include <utility>

namespace baobabtrail::daemon {

namespace {

namespace http = boost::beast::http;

constexpr int HttpVersion = 11;
constexpr std::string_view RecordsPath = "/records";
/// Frames are binary and are only interpreted by the codec.
constexpr std::string_view FrameType = "application/octet-stream";

} // namespace

HttpCall recordsCall(const Endpoint &peer, const std::string &request, Duration timeout)
{
    HttpCall call;
    call.server = peer;
    call.request = HttpClientRequest{http::verb::post, RecordsPath, HttpVersion};
    call.request.set(http::field::content_type, FrameType);
    call.request.body() = request;
    call.request.prepare_payload();
    call.timeout = timeout;
    call.totalTimeout = timeout;
    call.repeatable = true;
    return call;
}

std::optional<std::string> recordsAnswer(HttpResult result)
{
    auto *response = std::get_if<HttpClientResponse>(&result);
    if (!response || response->result() != http::status::ok)
        return std::nullopt;
    return std::move(response->body());
}

HttpReply recordsReply(const HttpRequest &request, const ServeRecords &serve)
{
    if (request.path != RecordsPath)
        return {404, "text/plain", "only records are served here\n"};
    auto answer = serve(request.body);
    if (!answer)
        return {403, "text/plain", "not a request that this daemon answers\n"};
    return {200, std::string{FrameType}, std::move(*answer)};
}

} // namespace baobabtrail::daemon
