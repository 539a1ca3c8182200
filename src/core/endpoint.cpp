#include "core/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace baobabtrail {

std::string toString(const Endpoint &endpoint)
{
    return boost::asio::ip::address_v4(endpoint.address).to_string() + ':'
           + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    if (error)
        return std::nullopt;

    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (status != std::errc{} || parsed != end || port == 0)
        return std::nullopt;
    return Endpoint{address.to_uint(), port};
}

} // namespace baobabtrail
