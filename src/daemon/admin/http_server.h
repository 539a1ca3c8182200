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
};

/// \brief Takes HTTP requests on one address and hands them to a handler.
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

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    AdministrationSettings m_settings;
    std::shared_ptr<const Handle> m_handle;
    FailureHandler m_failed;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
};

} // namespace baobabtrail::daemon
