#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <optional>

using namespace baobabtrail;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t PieceBytes = 20'000;
constexpr std::size_t Pieces = 30;
constexpr Duration Gap = 50ms;
/// Shorter than the whole response takes, and much longer than the gap between two pieces.
constexpr Duration Timeout = 1s;

/// \brief A server behind a slow link: it sends its only response piece by piece.
class SlowServer
{
public:
    /// \param stopsAfter Number of pieces after which it sends nothing more.
    SlowServer(boost::asio::io_context &context, std::size_t stopsAfter = Pieces)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_socket(context)
        , m_timer(context)
        , m_stopsAfter(stopsAfter)
    {
        m_acceptor.async_accept(m_socket, [this](error_code error) {
            if (!error)
                read();
        });
    }

    [[nodiscard]] Endpoint address() const
    {
        return {0x7F000001U, m_acceptor.local_endpoint().port()};
    }

private:
    void read()
    {
        boost::asio::async_read_until(m_socket, m_request, "\r\n\r\n",
                                      [this](error_code error, std::size_t) {
                                          if (!error)
                                              sendHead();
                                      });
    }

    void sendHead()
    {
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces * PieceBytes)
             + "\r\n\r\n");
    }

    void send(std::string text)
    {
        m_piece = std::move(text);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_piece),
                                 [this](error_code error, std::size_t) {
                                     if (!error && m_sent++ < m_stopsAfter)
                                         sendLater();
                                 });
    }

    void sendLater()
    {
        m_timer.expires_after(Gap);
        m_timer.async_wait([this](error_code error) {
            if (!error)
                send(std::string(PieceBytes, 'x'));
        });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::streambuf m_request;
    std::string m_piece;
    std::size_t m_sent = 0;
    std::size_t m_stopsAfter;
};

[[nodiscard]] HttpResult callOf(boost::asio::io_context &context, const SlowServer &server,
                                Duration longest)
{
    HttpClient client{context};
    HttpCall call;
    call.server = server.address();
    call.request = {boost::beast::http::verb::get, "/", 11};
    call.timeout = Timeout;
    call.totalTimeout = longest;
    std::optional<HttpResult> result;
    client.call(std::move(call), [&result](HttpResult given) { result = std::move(given); });
    while (!result && context.run_one() > 0) {
    }
    cr_assert(result.has_value());
    return std::move(*result);
}

} // namespace

// A large response arrives over a slow link: it takes about twice as long as the server may be
// silent, but its bytes arrive steadily. It must not be abandoned, because it would be as slow from
// any other server.
Test(httpClient, slowAnswerIsReceivedWhole)
{
    boost::asio::io_context context{1};
    const SlowServer server{context};
    const HttpResult result = callOf(context, server, 30s);
    const auto *response = std::get_if<HttpClientResponse>(&result);
    cr_assert_not_null(response);
    cr_assert_eq(response->body().size(), Pieces * PieceBytes);
}

// The same response, but the caller allows no more than the timeout for the whole of it.
Test(httpClient, totalTimeoutBoundsTheAnswer)
{
    boost::asio::io_context context{1};
    const SlowServer server{context};
    const HttpResult result = callOf(context, server, 0s);
    const auto *failure = std::get_if<HttpFailure>(&result);
    cr_assert_not_null(failure);
    cr_assert_gt(failure->bytes, 0);
    cr_assert_lt(failure->bytes, Pieces * PieceBytes);
}

// The server dies in the middle of its response. The call has to fail within the timeout instead of
// at the end of the total timeout, and report the number of bytes received.
Test(httpClient, stalledAnswerTimesOut)
{
    constexpr std::size_t sent = 5;
    boost::asio::io_context context{1};
    const SlowServer server{context, sent};
    const auto began = std::chrono::steady_clock::now();
    const HttpResult result = callOf(context, server, 60s);
    const auto *failure = std::get_if<HttpFailure>(&result);
    cr_assert_not_null(failure);
    cr_assert_geq(failure->bytes, sent * PieceBytes);
    cr_assert_lt(std::chrono::steady_clock::now() - began, 30s);
}
