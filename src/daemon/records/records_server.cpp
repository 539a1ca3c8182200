#include "daemon/records/records_server.h"

#include <utility>

namespace baobabtrail::daemon {

namespace {

/// Requests are a few dozen bytes. The limit keeps longer messages, of clients that are no daemons,
/// from being read into memory.
constexpr std::size_t MaxRequestBytes = 64 << 10;
/// Limit for reading a request and for writing its answer; the client's own timeout usually ends
/// the connection earlier.
constexpr Duration ConnectionTimeout = 30s;

[[nodiscard]] AdministrationSettings httpSettings(std::size_t connections)
{
    AdministrationSettings settings;
    settings.timeout = ConnectionTimeout;
    settings.maxBodyBytes = MaxRequestBytes;
    settings.maxConnections = connections;
    return settings;
}

[[nodiscard]] HttpReply stopped()
{
    HttpReply reply{503, "text/plain", "stopped\n"};
    reply.closes = true;
    return reply;
}

} // namespace

RecordsServer::RecordsServer(boost::asio::io_context &context, const Endpoint &local,
                             std::size_t connections, ServeRecords serve,
                             const FailureHandler &failed)
    : m_http(
        context, local, httpSettings(connections),
        [alive = std::weak_ptr{m_alive}, serve = std::move(serve),
         failed](const HttpRequest &request, const HttpServer::Respond &respond) {
            if (alive.expired()) {
                respond(stopped());
                return;
            }
            guarded(failed, [&] { respond(recordsReply(request, serve)); });
        },
        failed)
{
}

} // namespace baobabtrail::daemon
