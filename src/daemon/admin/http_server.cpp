#include "daemon/admin/http_server.h"

#include "daemon/net/asio_endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <stdexcept>

namespace baobabtrail::daemon {

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t MostHeaderBytes = 8192;

/// \brief One connection of a client.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(tcp::socket socket, const AdministrationSettings &settings,
                std::shared_ptr<const HttpServer::Handle> handle,
                std::shared_ptr<std::size_t> connections)
        : m_stream(std::move(socket))
        , m_settings(settings)
        , m_handle(std::move(handle))
        , m_connections(std::move(connections))
    {
        ++*m_connections;
    }
    ~HttpSession() { --*m_connections; }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(MostHeaderBytes);
        m_parser->body_limit(m_settings.maxBodyBytes);
        m_stream.expires_after(m_settings.timeout);
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, std::size_t) { self->taken(error); });
    }

private:
    void taken(const error_code &error)
    {
        if (error == http::error::body_limit) {
            m_keepAlive = false;
            reply({413, "text/plain", "the body is too long\n"});
            return;
        }
        if (error)
            return;
        // The handler may take its time, as "wait" does; the client's own timeout ends that.
        m_stream.expires_never();
        const auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        const auto authorization = message[http::field::authorization];
        const auto accepted = message[http::field::accept_encoding];
        (*m_handle)({std::string{message.method_string()}, std::string{message.target()},
                     std::string{authorization}, std::string{accepted}, message.body()},
                    [self = shared_from_this()](HttpReply answer) {
                        boost::asio::post(self->m_stream.get_executor(),
                                          [self, answer = std::move(answer)]() mutable {
                                              self->reply(std::move(answer));
                                          });
                    });
    }

    void reply(HttpReply answer)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(answer.status);
        m_response.set(http::field::content_type, answer.contentType);
        if (!answer.contentEncoding.empty())
            m_response.set(http::field::content_encoding, answer.contentEncoding);
        if (answer.status == 401)
            m_response.set(http::field::www_authenticate, "Bearer");
        m_response.keep_alive(m_keepAlive);
        m_response.body() = std::move(answer.body);
        m_response.prepare_payload();
        m_stream.expires_after(m_settings.timeout);
        http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](error_code error, std::size_t) { self->replied(error); });
    }

    void replied(const error_code &error)
    {
        if (error)
            return;
        if (m_keepAlive) {
            read();
            return;
        }
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream m_stream;
    AdministrationSettings m_settings;
    std::shared_ptr<const HttpServer::Handle> m_handle;
    std::shared_ptr<std::size_t> m_connections;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keepAlive = false;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context, const Endpoint &local,
                       const AdministrationSettings &settings, Handle handle, FailureHandler failed)
    : m_acceptor(context)
    , m_settings(settings)
    , m_handle(std::make_shared<const Handle>(std::move(handle)))
    , m_failed(std::move(failed))
{
    try {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(toAsio<tcp>(local));
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error(toString(local) + ": " + error.code().message());
    }
    accept();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept()
{
    m_acceptor.async_accept([this, alive = std::weak_ptr{m_alive}](error_code error,
                                                                   tcp::socket socket) {
        if (alive.expired())
            return;
        if (error) {
            m_failed(error.message());
            return;
        }
        // Beyond the bound a connection is closed at once: waiting ones would use up the
        // process's file descriptors, which connections to targets need.
        if (*m_connections < m_settings.maxConnections)
            std::make_shared<HttpSession>(std::move(socket), m_settings, m_handle, m_connections)
                ->read();
        accept();
    });
}

} // namespace baobabtrail::daemon
