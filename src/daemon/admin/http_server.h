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

/// \brief What the administration API needs to know of an HTTP request.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string authorization;  ///< Value of the header; empty where there is none.
    std::string acceptEncoding; ///< The same.
    std::string body;
};

struct HttpReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string contentEncoding{}; ///< Of the body; empty for none.
    bool closes = false;           ///< The connection ends with this reply.
};

/// \brief Connections of an HttpServer, now and so far.
struct HttpConnections
{
    std::size_t open = 0;
    std::size_t peak = 0;            ///< That were open at once.
    std::uint64_t singleRequest = 0; ///< Ended after one reply, since enough others were kept.
    std::uint64_t postponed = 0;     ///< Times that a new one had to wait for another's end.
};

struct HttpServerState;

/// \brief Takes HTTP requests on one address and hands them to a handler.
///
/// Every request is answered: beyond the connections that are kept, others are taken for one
/// request each, up to a share of the process's file descriptors; further ones wait until one of
/// them ends. A connection that is closed without a word tells its client nothing, and it comes
/// again at once.
class HttpServer
{
public:
    using Respond = std::function<void(HttpReply)>;
    /// \param respond To be called once, at any later time.
    using Handle = std::function<void(HttpRequest, Respond respond)>;

    /// \throws std::runtime_error where the address can't be listened on.
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
