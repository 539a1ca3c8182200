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

/// \brief No response: not connected, cut off, or out of time. A write may have taken effect.
struct HttpFailure
{
    std::string what;
    std::uint64_t bytes = 0; ///< Received all the same.
    bool tooLong = false;    ///< The response is longer than the call allows.
};

using HttpResult = std::variant<HttpClientResponse, HttpFailure>;

/// \brief How a call is made.
struct HttpCall
{
    Endpoint server;
    HttpClientRequest request;
    /// From the call until the response begins, and longest pause within it afterwards, up to 0.8
    /// s. A link that is thin or full makes a large response slow; it would be as slow elsewhere.
    Duration timeout{0};
    /// Until the server's machine takes a new connection; 0 for the timeout. One that is dark or
    /// cut off never does, one that is busy does at once.
    Duration connectTimeout{0};
    /// From the call to the end of the response; 0 where it has to be whole within the timeout.
    Duration totalTimeout{0};
    std::uint64_t maxBodyBytes
        = 0; ///< Of the response's body; 0 for a bound that none should meet.
    /// May be sent once more where a connection that was kept turns out to be dropped.
    bool repeatable = false;
};

/// \brief Makes HTTP calls over connections that are kept. Never throws for what a server does:
/// every call ends in a result.
class HttpClient
{
public:
    using Handler = std::function<void(HttpResult)>;

    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \param done Called once, from the io_context, never from within call().
    void call(HttpCall call, Handler done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace baobabtrail
