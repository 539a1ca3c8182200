#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <vector>

#include <unistd.h>

namespace baobabtrail::test {

using Ports = std::vector<std::uint16_t>;

[[nodiscard]] inline bool isFree(std::uint16_t port)
{
    boost::asio::io_context context;
    boost::system::error_code error;
    const auto loopback = boost::asio::ip::address_v4::loopback();
    boost::asio::ip::udp::socket udp{context, boost::asio::ip::udp::v4()};
    udp.bind({loopback, port}, error);
    if (error)
        return false;
    boost::asio::ip::tcp::socket tcp{context, boost::asio::ip::tcp::v4()};
    tcp.bind({loopback, port}, error);
    return !error;
}

/// \brief Finds ports that are free for TCP and UDP, below the kernel's ephemeral range: any socket
/// could get a port of that range before the daemon binds it.
[[nodiscard]] inline Ports freePorts(std::size_t count)
{
    constexpr int First = 20000;
    constexpr int Span = 12000;
    constexpr int Stride = 61;
    static int next = static_cast<int>(getpid()) * Stride;
    Ports ports;
    while (ports.size() < count) {
        const auto port = static_cast<std::uint16_t>(First + next++ % Span);
        if (isFree(port))
            ports.push_back(port);
    }
    return ports;
}

} // namespace baobabtrail::test
