#pragma once

#include "core/endpoint.h"
#include "daemon/settings/settings.h"
#include "daemon/supervisor/supervisor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace baobabtrail::daemon {

/// \brief The parts of an HTTP request that handlers use.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string authorization;  ///< Value of the header; empty if absent.
    std::string acceptEncoding; ///< Value of the header; empty if absent.
    std::string body;
};

struct HttpReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string contentEncoding{}; ///< Encoding of the body; empty for none.
    bool closes = false;           ///< Whether to close the connection after this reply.
};

/// \brief Connection counts of an HttpServer.
struct HttpConnections
{
    std::size_t open = 0;
    std::size_t peak = 0;            ///< Maximum of connections open at once.
    std::uint64_t singleRequest = 0; ///< Closed after one reply, since the maximum of keep-alive
                                     ///< connections was reached.
    std::uint64_t postponed = 0;     ///< Times that accepting was paused until a connection closes.
};

struct HttpServerState;

/// \brief Accepts HTTP connections on one address and passes their requests to a handler.
///
/// Every request is answered. Beyond the maximum of keep-alive connections, further ones are
/// accepted for one request each, up to a share of the process's file descriptors; beyond that,
/// clients wait until a connection closes. Connections aren't closed without a reply, since a
/// client whose connection was closed that way would reconnect at once.
class HttpServer
{
public:
    using Respond = std::function<void(HttpReply)>;
    /// \param respond Must be called once, at any later time.
    using Handle = std::function<void(HttpRequest, Respond respond)>;

    /// \param failed Called when the server can't accept any more.
    /// \throws std::runtime_error if it can't listen on the address.
    HttpServer(boost::asio::io_context &context, const Endpoint &local,
               const AdministrationSettings &settings, Handle handle, FailureHandler failed);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    [[nodiscard]] const HttpConnections &connections() const noexcept;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    FailureHandler m_failed;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::shared_ptr<HttpServerState>
        m_state; ///< Shared with the connections, which may outlive the server.
};

} // namespace baobabtrail::daemon
