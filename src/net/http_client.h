#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace baobabtrail {

using HttpClientRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpClientResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief A call without a complete response: the connection failed, broke or timed out. A write
/// may have taken effect.
struct HttpFailure
{
    std::string what;
    std::uint64_t bytes = 0; ///< Received before the failure.
    bool tooLong = false;    ///< The response's body is larger than the call allows.
};

using HttpResult = std::variant<HttpClientResponse, HttpFailure>;

/// \brief A request with its server, timeouts and limits.
struct HttpCall
{
    Endpoint server;
    HttpClientRequest request;
    /// From the call until the response begins. Afterwards the longest time without a byte, limited
    /// to 0.8 s there. The response as a whole may take longer: a large one is slow over a narrow
    /// or congested link, and would be as slow from another server.
    Duration timeout{0};
    /// Until the server's machine accepts a new connection; 0 to use \a timeout. A machine that is
    /// down or unreachable never accepts it, a busy one does at once.
    Duration connectTimeout{0};
    /// From the call to the end of the response; 0 to use \a timeout.
    Duration totalTimeout{0};
    /// Largest body of the response; 0 for the client's own limit, which no response should reach.
    std::uint64_t maxBodyBytes = 0;
    /// Whether the request may be retried once if the server has dropped the idle connection that
    /// the call reused.
    bool repeatable = false;
};

/// \brief Makes HTTP calls over persistent connections.
///
/// Does not throw for errors of a server: every call ends in a result.
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult)>;

    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \brief Starts a call.
    /// \param done Called once with the result, from the io_context, never from within call(). Not
    /// called if the client is destroyed first.
    void call(HttpCall call, Handler done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace baobabtrail
