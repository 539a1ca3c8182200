#include "daemon/admin/http_server.h"

#include "daemon/net/asio_endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace baobabtrail::daemon {

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 8192;
/// The connections of one server may use the process's file descriptors divided by this; the others
/// are left for targets, callers and the store.
constexpr std::size_t DescriptorDivisor = 4;
/// Assumed where the limit can't be read or is infinite.
constexpr std::size_t DefaultDescriptorLimit = 1024;
/// Time limit for receiving the request of a single-request connection; kept short, since other
/// clients wait for the connection to close.
constexpr Duration SingleRequestTimeout = 1s;

[[nodiscard]] std::size_t descriptorLimit() noexcept
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return DefaultDescriptorLimit;
    return limit.rlim_cur;
}

} // namespace

/// \brief State that is shared by a server and its connections.
struct HttpServerState
{
    AdministrationSettings settings;
    HttpServer::Handle handle;
    HttpConnections connections;
    std::size_t maxOpen = 0;
    /// Resumes accepting after a connection has closed; set while accepting is paused.
    std::function<void()> resume{};

    void ended()
    {
        --connections.open;
        if (const auto accept = std::exchange(resume, nullptr))
            accept();
    }
};

namespace {

/// \brief One client connection.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    /// \param singleRequest Whether to close the connection after its first reply.
    HttpSession(tcp::socket socket, std::shared_ptr<HttpServerState> state, bool singleRequest)
        : m_stream(std::move(socket))
        , m_state(std::move(state))
        , m_singleRequest(singleRequest)
    {
    }
    ~HttpSession() { m_state->ended(); }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(MaxHeaderBytes);
        m_parser->body_limit(m_state->settings.maxBodyBytes);
        m_stream.expires_after(m_singleRequest ? std::min(SingleRequestTimeout, timeout())
                                               : timeout());
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, std::size_t) { self->received(error); });
    }

private:
    void received(const error_code &error)
    {
        if (error == http::error::body_limit) {
            m_keepAlive = false;
            reply({413, "text/plain", "the request body is too long\n"});
            return;
        }
        if (error)
            return;
        // No timeout while the handler runs: a statement such as "wait" may take long, and the
        // client's own timeout limits it.
        m_stream.expires_never();
        const auto message = m_parser->release();
        m_keepAlive = message.keep_alive() && !m_singleRequest;
        const auto authorization = message[http::field::authorization];
        const auto accepted = message[http::field::accept_encoding];
        m_state->handle({std::string{message.method_string()}, std::string{message.target()},
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
        m_keepAlive = m_keepAlive && !answer.closes;
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
        m_stream.expires_after(timeout());
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

    [[nodiscard]] Duration timeout() const noexcept { return m_state->settings.timeout; }

    beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_state;
    bool m_singleRequest;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keepAlive = false;
};

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context, const Endpoint &local,
                       const AdministrationSettings &settings, Handle handle, FailureHandler failed)
    : m_acceptor(context)
    , m_failed(std::move(failed))
    , m_state(std::make_shared<HttpServerState>())
{
    m_state->settings = settings;
    m_state->handle = std::move(handle);
    m_state->maxOpen = std::max(settings.maxConnections, descriptorLimit() / DescriptorDivisor);
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

HttpServer::~HttpServer()
{
    m_state->resume = nullptr;
}

const HttpConnections &HttpServer::connections() const noexcept
{
    return m_state->connections;
}

void HttpServer::accept()
{
    HttpConnections &connections = m_state->connections;
    if (connections.open >= m_state->maxOpen) {
        ++connections.postponed;
        m_state->resume = [this] { accept(); };
        return;
    }
    m_acceptor.async_accept(
        [this, alive = std::weak_ptr{m_alive}](error_code error, tcp::socket socket) {
            if (alive.expired())
                return;
            if (error) {
                m_failed(error.message());
                return;
            }
            HttpConnections &known = m_state->connections;
            const bool singleRequest = ++known.open > m_state->settings.maxConnections;
            known.singleRequest += singleRequest;
            known.peak = std::max(known.peak, known.open);
            std::make_shared<HttpSession>(std::move(socket), m_state, singleRequest)->read();
            accept();
        });
}

} // namespace baobabtrail::daemon
