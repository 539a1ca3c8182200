#pragma once

#include "core/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace baobabtrail::daemon {

/// \return The Asio endpoint for \a Protocol, such as boost::asio::ip::tcp.
template <typename Protocol>
[[nodiscard]] typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4{endpoint.address}, endpoint.port};
}

[[nodiscard]] inline sockaddr_in toSockaddr(const Endpoint &endpoint) noexcept
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

[[nodiscard]] inline Endpoint fromSockaddr(const sockaddr_in &address) noexcept
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

} // namespace baobabtrail::daemon
