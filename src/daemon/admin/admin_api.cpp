#include "daemon/admin/admin_api.h"

#include "daemon/admin/access_keys.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace baobabtrail::daemon {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view TextPlain = "text/plain; charset=utf-8";

[[nodiscard]] HttpReply plain(unsigned status, std::string text)
{
    return {status, std::string{TextPlain}, std::move(text)};
}

[[nodiscard]] HttpReply problem(unsigned status, std::string text)
{
    language::Result result;
    result.status = language::Status::Usage;
    result.messages.push_back(std::move(text));
    return {status, "application/json", language::toJson(result)};
}

[[nodiscard]] std::string_view bearerKey(std::string_view authorization) noexcept
{
    if (!authorization.starts_with(BearerPrefix))
        return {};
    return authorization.substr(BearerPrefix.size());
}

/// \return The request, or what is wrong with the body.
[[nodiscard]] std::variant<language::Request, std::string> readBody(const std::string &body)
{
    boost::system::error_code error;
    const boost::json::value root = boost::json::parse(body, error);
    if (error || !root.is_object())
        return "the body is not a JSON object";

    const boost::json::object &object = root.get_object();
    const auto *text = object.if_contains("text");
    if (!text || !text->is_string())
        return "text: expected a text";

    language::Request request;
    request.text = std::string{std::string_view{text->get_string()}};
    if (const auto *changeId = object.if_contains("changeId"); changeId && !changeId->is_null()) {
        if (!changeId->is_string())
            return "changeId: expected a text";
        request.changeId = std::string{std::string_view{changeId->get_string()}};
    }
    if (const auto *expected = object.if_contains("expected"); expected && !expected->is_null()) {
        if (!expected->is_int64() || expected->get_int64() < 0)
            return "expected: expected a revision";
        request.expected = Revision{static_cast<std::uint64_t>(expected->get_int64())};
    }
    if (const auto *dryRun = object.if_contains("dryRun"); dryRun && !dryRun->is_null()) {
        if (!dryRun->is_bool())
            return "dryRun: expected true or false";
        request.dryRun = dryRun->get_bool();
    }
    return request;
}

} // namespace

AdminApi::AdminApi(language::Backend backend, std::vector<std::string> operatorHashes,
                   Counters &counters)
    : m_backend(std::move(backend))
    , m_operatorHashes(std::move(operatorHashes))
    , m_counters(counters)
{
}

void AdminApi::handle(const HttpRequest &request, const HttpServer::Respond &respond)
{
    if (request.path == "/healthz") {
        respond(plain(200, "ok\n"));
        return;
    }
    if (request.path == "/metrics") {
        respond({200, "text/plain; version=0.0.4; charset=utf-8", m_backend.metrics()});
        return;
    }
    if (request.path != "/v1/execute") {
        respond(plain(404, "no such path\n"));
        return;
    }
    if (request.method != "POST") {
        respond(plain(405, "expected POST\n"));
        return;
    }
    execute(request, respond);
}

void AdminApi::execute(const HttpRequest &request, const HttpServer::Respond &respond)
{
    auto caller
        = findCaller(bearerKey(request.authorization), m_operatorHashes, *m_backend.config());
    if (!caller) {
        ++m_counters.adminUnauthorized;
        respond(problem(401, "no key, or one that nobody has"));
        return;
    }
    ++m_counters.adminAccepted;

    auto body = readBody(request.body);
    if (const auto *text = std::get_if<std::string>(&body)) {
        respond(problem(400, *text));
        return;
    }
    language::Request &statement = std::get<language::Request>(body);
    statement.caller = std::move(*caller);
    language::execute(m_backend, std::move(statement), [respond](const language::Result &result) {
        respond({200, "application/json", language::toJson(result)});
    });
}

} // namespace baobabtrail::daemon
