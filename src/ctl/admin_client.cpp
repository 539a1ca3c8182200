#include "ctl/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace baobabtrail::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr unsigned HttpVersion = 11;

[[nodiscard]] std::string bodyOf(const Call &call)
{
    boost::json::object body;
    body["text"] = call.text;
    body["changeId"] = call.changeId;
    body["dryRun"] = call.dryRun;
    if (call.expected)
        body["expected"] = *call.expected;
    return boost::json::serialize(body);
}

/// \brief One HTTP request and reply on a new connection. Runs asynchronous operations on its own
/// io_context, since the timeouts of beast::tcp_stream apply to asynchronous operations only.
class Exchange
{
public:
    Exchange(const Endpoint &daemon, http::request<http::string_body> request, Duration timeout)
        : m_stream(m_context)
        , m_address(asio::ip::address_v4(daemon.address), daemon.port)
        , m_request(std::move(request))
    {
        m_stream.expires_after(timeout);
    }

    /// \throws boost::system::system_error if the daemon can't be reached or does not answer in
    /// time.
    [[nodiscard]] Reply run()
    {
        m_stream.async_connect(m_address, [this](beast::error_code error) { connected(error); });
        m_context.run();
        if (m_error)
            throw boost::system::system_error(m_error);
        return Reply{m_response.result_int(), std::move(m_response.body())};
    }

private:
    void connected(beast::error_code error)
    {
        m_error = error;
        if (error)
            return;
        http::async_write(m_stream, m_request,
                          [this](beast::error_code failure, std::size_t) { written(failure); });
    }

    void written(beast::error_code error)
    {
        m_error = error;
        if (error)
            return;
        http::async_read(m_stream, m_buffer, m_response,
                         [this](beast::error_code failure, std::size_t) { m_error = failure; });
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream;
    asio::ip::tcp::endpoint m_address;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response<http::string_body> m_response;
    beast::error_code m_error;
};

} // namespace

AdminClient::AdminClient(std::vector<Endpoint> daemons, std::string key, Duration timeout)
    : m_daemons(std::move(daemons))
    , m_key(std::move(key))
    , m_timeout(timeout)
{
}

std::optional<Reply> AdminClient::execute(const Call &call)
{
    m_failures.clear();
    const std::string body = bodyOf(call);
    for (const Endpoint &daemon : m_daemons) {
        try {
            return sendTo(daemon, body);
        } catch (const boost::system::system_error &error) {
            m_failures.push_back(toString(daemon) + ": " + error.code().message());
        }
    }
    return std::nullopt;
}

Reply AdminClient::sendTo(const Endpoint &daemon, const std::string &body) const
{
    http::request<http::string_body> request{http::verb::post, "/v1/execute", HttpVersion};
    request.set(http::field::host, toString(daemon));
    request.set(http::field::authorization, "Bearer " + m_key);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return Exchange{daemon, std::move(request), m_timeout}.run();
}

} // namespace baobabtrail::ctl
