#pragma once

#include "core/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace baobabtrail::standins {

/// \brief A UDP socket bound to its own address of the loopback range.
class UdpEnd
{
public:
    using Receive = std::function<void(std::string_view bytes, const Endpoint &sender)>;

    UdpEnd(boost::asio::io_context &context, const Endpoint &local, Receive receive)
        : m_socket(context, {boost::asio::ip::address_v4{local.address}, local.port})
        , m_receive(std::move(receive))
    {
        m_socket.non_blocking(true);
        read();
    }

    /// \brief Sends without queueing; a datagram that the kernel rejects is lost.
    void send(const Endpoint &to, const std::string &bytes)
    {
        boost::system::error_code lost;
        m_socket.send_to(boost::asio::buffer(bytes),
                         {boost::asio::ip::address_v4{to.address}, to.port}, 0, lost);
    }

private:
    void read()
    {
        m_socket.async_receive_from(
            boost::asio::buffer(m_buffer), m_sender,
            [this](boost::system::error_code error, std::size_t size) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                if (!error)
                    m_receive({m_buffer.data(), size},
                              {m_sender.address().to_v4().to_uint(), m_sender.port()});
                read();
            });
    }

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender; ///< Sender of the datagram being read.
    Receive m_receive;
    std::array<char, 2048> m_buffer{};
};

} // namespace baobabtrail::standins
