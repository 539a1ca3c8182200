#pragma once

/// \file
/// \brief HTTP calls to the control ports of the stand-ins.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <stdexcept>
#include <string>

namespace baobabtrail::test {

/// \return Body of the response.
/// \throws std::exception If there is no response or its status is 300 or higher.
inline std::string callHttp(boost::beast::http::verb verb, std::uint16_t port,
                            const std::string &path, const std::string &body = {})
{
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream{context};
    stream.connect({boost::asio::ip::address_v4::loopback(), port});
    http::request<http::string_body> request{verb, path, 11, body};
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    if (response.result_int() >= 300)
        throw std::runtime_error(path + ": status " + std::to_string(response.result_int()));
    return response.body();
}

[[nodiscard]] inline boost::json::value getJson(std::uint16_t port, const std::string &path)
{
    return boost::json::parse(callHttp(boost::beast::http::verb::get, port, path));
}

} // namespace baobabtrail::test
