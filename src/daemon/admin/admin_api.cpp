#include "daemon/admin/admin_api.h"

#include "daemon/admin/access_keys.h"
#include "daemon/admin/statement_body.h"

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

[[nodiscard]] std::string_view bearerKey(std::string_view authorization) noexcept
{
    if (!authorization.starts_with(BearerPrefix))
        return {};
    return authorization.substr(BearerPrefix.size());
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
    if (request.path != StatementPath) {
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
        respond(usageReply(401, "the access key is missing or unknown"));
        return;
    }
    ++m_counters.adminAccepted;

    auto body = readStatementBody(request.body);
    if (const auto *text = std::get_if<std::string>(&body)) {
        respond(usageReply(400, *text));
        return;
    }
    language::Request &statement = std::get<language::Request>(body);
    statement.caller = std::move(*caller);
    language::execute(m_backend, std::move(statement), [respond](const language::Result &result) {
        respond(resultReply(200, result));
    });
}

} // namespace baobabtrail::daemon
