#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::standins {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
/// \brief Sends the response; an empty optional closes the connection without one. May be called
/// after the handler has returned.
using HttpReply = std::function<void(std::optional<HttpResponse>)>;
using HttpHandler = std::function<void(const HttpRequest &, const HttpReply &)>;

[[nodiscard]] inline HttpResponse response(http::status status, std::string body = {})
{
    HttpResponse out{status, 11};
    out.body() = std::move(body);
    return out;
}

[[nodiscard]] inline HttpResponse jsonResponse(const boost::json::value &value)
{
    HttpResponse out = response(http::status::ok, boost::json::serialize(value) + '\n');
    out.set(http::field::content_type, "application/json");
    return out;
}

/// \brief One HTTP connection; handles one request at a time.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, const HttpHandler &handler)
        : m_stream(std::move(socket))
        , m_handler(handler)
    {
    }

    void read()
    {
        constexpr std::uint64_t maxBodyBytes = 2 << 20;
        m_parser.emplace();
        m_parser->body_limit(maxBodyBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (!error)
                                 self->handle();
                         });
    }

private:
    void handle()
    {
        m_handler(m_parser->get(),
                  [self = shared_from_this()](std::optional<HttpResponse> response) {
                      if (response)
                          self->write(std::move(*response));
                      else
                          self->m_stream.close();
                  });
    }

    void write(HttpResponse response)
    {
        m_response = std::move(response);
        m_response.keep_alive(m_parser->keep_alive());
        m_response.prepare_payload();
        http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (!error && self->m_response.keep_alive())
                    self->read();
            });
    }

    boost::beast::tcp_stream m_stream;
    const HttpHandler &m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    HttpResponse m_response;
};

/// \brief A minimal HTTP server on 127.0.0.1.
class HttpServer
{
public:
    /// \param port Port to listen on; 0 lets the kernel choose a free one.
    HttpServer(boost::asio::io_context &context, std::uint16_t port, HttpHandler handler)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), port})
        , m_handler(std::move(handler))
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                if (!error)
                    std::make_shared<HttpSession>(std::move(socket), m_handler)->read();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpHandler m_handler;
};

[[nodiscard]] inline std::string percentDecode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(
                static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16)));
            i += 2;
            continue;
        }
        out.push_back(text[i]);
    }
    return out;
}

/// \brief A request target split into its decoded path and query parameters.
struct UrlParts
{
    std::string path;
    std::map<std::string, std::string, std::less<>> query;

    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t otherwise) const
    {
        const auto found = query.find(name);
        return found == query.end() ? otherwise : std::stoull(found->second);
    }
    [[nodiscard]] std::string text(std::string_view name) const
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string{} : found->second;
    }
};

[[nodiscard]] inline UrlParts parseUrl(std::string_view target)
{
    UrlParts out;
    const auto mark = target.find('?');
    out.path = percentDecode(target.substr(0, mark));
    if (mark == std::string_view::npos)
        return out;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            out.query[std::string{pair.substr(0, equals)}] = percentDecode(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return out;
}

} // namespace baobabtrail::standins
