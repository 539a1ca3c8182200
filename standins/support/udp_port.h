#pragma once

#include "core/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::standins {

/// \brief A non-blocking UDP socket bound to 127.0.0.1.
class UdpPort
{
public:
    using Receive = std::function<void(const Endpoint &from, std::string_view bytes)>;

    /// \param port Port to bind; 0 lets the kernel choose a free one.
    UdpPort(boost::asio::io_context &context, std::uint16_t port, Receive receive)
        : m_socket(context, {boost::asio::ip::address_v4::loopback(), port})
        , m_receive(std::move(receive))
        , m_buffer(MaxBytes)
    {
        constexpr int bufferBytes = 4 << 20;
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size{bufferBytes}, ignored);
        m_socket.set_option(boost::asio::socket_base::send_buffer_size{bufferBytes}, ignored);
        m_socket.non_blocking(true);
        wait();
    }

    [[nodiscard]] Endpoint address() const
    {
        const auto local = m_socket.local_endpoint();
        return {local.address().to_v4().to_uint(), local.port()};
    }

    /// \brief Sends without queueing; a datagram that the kernel rejects is lost, as on a network.
    void send(const Endpoint &to, std::string_view bytes)
    {
        boost::system::error_code ignored;
        m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                         {boost::asio::ip::address_v4{to.address}, to.port}, 0, ignored);
    }

private:
    void wait()
    {
        m_socket.async_wait(boost::asio::socket_base::wait_read,
                            [this](boost::system::error_code error) {
                                if (error)
                                    return;
                                readAll();
                                wait();
                            });
    }

    void readAll()
    {
        constexpr int maxReadsAtOnce = 256;
        for (int i = 0; i < maxReadsAtOnce; ++i) {
            boost::asio::ip::udp::endpoint from;
            boost::system::error_code error;
            const std::size_t size
                = m_socket.receive_from(boost::asio::buffer(m_buffer), from, 0, error);
            if (error == boost::asio::error::would_block)
                return;
            if (error)
                continue;
            m_receive({from.address().to_v4().to_uint(), from.port()}, {m_buffer.data(), size});
        }
    }

    static constexpr std::size_t MaxBytes = 65536;
    boost::asio::ip::udp::socket m_socket;
    Receive m_receive;
    std::vector<char> m_buffer;
};

} // namespace baobabtrail::standins
