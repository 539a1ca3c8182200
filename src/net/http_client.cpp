#include "net/http_client.h"

#include "net/impl/connection_pool.h"
#include "net/impl/tcp_keepalive.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace baobabtrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Largest body of a response in bytes: a page of the store's largest objects, encoded in base64.
constexpr std::uint64_t MaxResponseBytes = 64 << 20;

/// Longest time without a byte once a response has begun. Long enough for two retransmissions of a
/// lost packet, after 200 ms and another 400 ms; bounds the wait for a server that died meanwhile.
constexpr std::chrono::milliseconds MaxPause{800};

/// Number of servers with idle connections above which all idle connections are closed.
constexpr std::size_t MaxServers = 64;

/// \brief State shared by the calls of one client.
struct Shared
{
    asio::io_context &context;
    std::map<Endpoint, impl::ConnectionPool> idle;
    bool closed = false;
};

/// \brief One call in progress, from connecting to the result.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(std::shared_ptr<Shared> shared, HttpCall call, HttpClient::Handler done)
        : m_shared(std::move(shared))
        , m_call(std::move(call))
        , m_done(std::move(done))
        , m_deadline(Clock::now() + m_call.timeout)
        , m_totalDeadline(m_call.totalTimeout > Duration{0} ? Clock::now() + m_call.totalTimeout
                                                            : m_deadline)
    {
    }

    void start()
    {
        if (m_shared->closed)
            return;
        m_connection = idle().take();
        m_reused = m_connection != nullptr;
        if (m_reused)
            send();
        else
            connect();
    }

    /// \brief Ends the call without calling its handler.
    void abandon()
    {
        m_done = nullptr;
        if (m_connection)
            m_connection->close();
    }

private:
    using Clock = std::chrono::steady_clock;

    void connect()
    {
        m_connection = std::make_unique<beast::tcp_stream>(m_shared->context);
        const Clock::time_point connectDeadline = Clock::now() + m_call.connectTimeout;
        const bool bounded = m_call.connectTimeout > Duration{0};
        m_connection->expires_at(bounded ? std::min(connectDeadline, m_deadline) : m_deadline);
        const asio::ip::tcp::endpoint address{asio::ip::address_v4{m_call.server.address},
                                              m_call.server.port};
        m_connection->async_connect(address, [self = shared_from_this()](error_code error) {
            if (error) {
                self->fail("can't connect", error);
                return;
            }
            impl::enableTcpKeepAlive(self->m_connection->socket().native_handle());
            self->send();
        });
    }

    void send()
    {
        m_connection->expires_at(m_deadline);
        const auto sent = [self = shared_from_this()](error_code error, std::size_t) {
            if (error)
                self->failOrRetry("can't send", error);
            else
                self->receive();
        };
        http::async_write(*m_connection, m_call.request, sent);
    }

    void receive()
    {
        m_parser.emplace();
        m_parser->body_limit(m_call.maxBodyBytes > 0 ? m_call.maxBodyBytes : MaxResponseBytes);
        m_parser->eager(true); // Also parses the body as it arrives.
        m_received = 0;
        receiveSome();
    }

    void receiveSome()
    {
        const auto received = [self = shared_from_this()](error_code error, std::size_t bytes) {
            self->m_received += bytes;
            self->receivedSome(error);
        };
        http::async_read_some(*m_connection, m_buffer, *m_parser, received);
    }

    void receivedSome(error_code error)
    {
        if (error == http::error::body_limit) {
            report(HttpFailure{"the answer is too large", m_received, true});
        } else if (error && m_received == 0) {
            failOrRetry("no answer", error);
        } else if (error) {
            fail("the answer was cut off", error, m_received);
        } else if (m_parser->is_done()) {
            finish();
        } else {
            m_connection->expires_at(std::min(Clock::now() + pause(), m_totalDeadline));
            receiveSome();
        }
    }

    /// \return The longest time without a byte once the response has begun.
    [[nodiscard]] Clock::duration pause() const
    {
        return std::min<Clock::duration>(m_call.timeout, MaxPause);
    }

    void finish()
    {
        if (m_parser->keep_alive() && !m_shared->closed) {
            m_connection->expires_never();
            idle().give(std::move(m_connection));
        }
        report(m_parser->release());
    }

    // A server may close an idle connection at the moment at which a call reuses it, and the caller
    // would see a failure of a healthy server. A repeatable request is retried once on a new
    // connection; a write is not, because it may have taken effect.
    void failOrRetry(const char *what, error_code error)
    {
        const bool timedOut = error == beast::error::timeout;
        // The idle connections may be dead for the same reason as this one, and each would cost
        // another call its whole timeout.
        if (timedOut)
            idle().clear();
        if (!m_reused || timedOut || !m_call.repeatable || m_shared->closed) {
            fail(what, error);
            return;
        }
        m_reused = false;
        m_buffer.clear();
        connect();
    }

    void fail(const char *what, error_code error, std::uint64_t bytes = 0)
    {
        report(HttpFailure{std::string{what} + ": " + error.message(), bytes});
    }

    void report(HttpResult result)
    {
        m_connection.reset();
        if (m_shared->closed)
            return;
        if (const auto done = std::exchange(m_done, nullptr))
            done(std::move(result));
    }

    [[nodiscard]] impl::ConnectionPool &idle()
    {
        if (m_shared->idle.size() > MaxServers)
            m_shared->idle.clear(); // Most are of removed servers; the others reconnect.
        return m_shared->idle[m_call.server];
    }

    std::shared_ptr<Shared> m_shared;
    HttpCall m_call;
    HttpClient::Handler m_done;
    Clock::time_point m_deadline;      ///< When the response must have begun.
    Clock::time_point m_totalDeadline; ///< When the response must have ended.
    std::uint64_t m_received = 0;
    impl::Connection m_connection;
    bool m_reused = false;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
};

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(asio::io_context &context)
        : m_shared(std::make_shared<Shared>(Shared{context, {}, false}))
    {
    }

    ~Impl()
    {
        m_shared->closed = true;
        m_shared->idle.clear();
        for (const auto &running : m_running) {
            if (const auto call = running.lock())
                call->abandon();
        }
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void call(HttpCall call, Handler done)
    {
        std::erase_if(m_running, [](const auto &running) { return running.expired(); });
        const auto started = std::make_shared<Call>(m_shared, std::move(call), std::move(done));
        m_running.push_back(started);
        asio::post(m_shared->context, [started] { started->start(); });
    }

private:
    std::shared_ptr<Shared> m_shared;
    std::vector<std::weak_ptr<Call>> m_running;
};

HttpClient::HttpClient(asio::io_context &context)
    : m_impl(std::make_shared<Impl>(context))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Handler done)
{
    m_impl->call(std::move(call), std::move(done));
}

} // namespace baobabtrail
