#include "daemon/direct/peer_http.h"

#include "wire/view_form.h"

namespace baobabtrail::daemon {

namespace {

namespace http = boost::beast::http;

constexpr int HttpVersion = 11;

} // namespace

HttpCall peerCall(const Endpoint &peer, const PeerQuery &query, const QueryTimeouts &timeouts)
{
    HttpCall call;
    call.server = peer;
    call.request = HttpClientRequest{http::verb::post, wire::ViewPath, HttpVersion};
    call.request.set(http::field::accept_encoding, wire::ContentCoding);
    call.request.body() = wire::toJson(query);
    call.request.prepare_payload();
    call.connectTimeout = timeouts.connect;
    call.timeout = timeouts.firstByte;
    call.totalTimeout = timeouts.total;
    call.repeatable = true;
    return call;
}

PeerResult peerResult(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result))
        return {{}, failure->bytes, failure->what};
    const auto &response = std::get<HttpClientResponse>(result);
    const std::uint64_t bytes = response.body().size();
    if (response.result() != http::status::ok)
        return {{}, bytes, "status " + std::to_string(response.result_int())};
    const bool isPacked = response[http::field::content_encoding] == wire::ContentCoding;
    PeerReply reply
        = isPacked ? wire::parsePackedAnswer(response.body()) : wire::parseAnswer(response.body());
    const char *const why = reply ? "" : "the answer can't be read";
    return {std::move(reply), bytes, why};
}

std::optional<PeerQuery> parsePeerQuery(const HttpRequest &request)
{
    if (request.path != wire::ViewPath)
        return std::nullopt;
    auto query = wire::parseQuery(request.body);
    if (query && request.acceptEncoding != wire::ContentCoding)
        query->whole = false;
    return query;
}

HttpReply peerResponse(const HttpRequest &request, const PeerReply &reply)
{
    if (!reply) {
        HttpReply none{503, "text/plain", "no confirmed copy\n"};
        none.closes = true;
        return none;
    }
    const bool packs = request.acceptEncoding == wire::ContentCoding;
    auto packed = packs ? wire::pack(*reply) : std::nullopt;
    HttpReply answer{200, "application/json", packed ? std::move(*packed) : wire::toJson(*reply)};
    if (packed)
        answer.contentEncoding = wire::ContentCoding;
    answer.closes = closesConnection(reply);
    return answer;
}

} // namespace baobabtrail::daemon
