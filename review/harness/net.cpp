#include "net.h"

#include <cstdio>
#include <iostream>

namespace review {

namespace {

template <typename Number>
void put(std::string &bytes, std::size_t at, Number value)
{
    for (std::size_t index = sizeof(Number); index > 0; --index) {
        bytes[at + index - 1] = static_cast<char>(value & 0xff);
        value = static_cast<Number>(value >> 8);
    }
}

template <typename Number>
Number take(std::string_view bytes, std::size_t at)
{
    Number value = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index)
        value = static_cast<Number>(value << 8 | static_cast<unsigned char>(bytes[at + index]));
    return value;
}

} // namespace

std::string Packet::bytes() const
{
    std::string out(HeadBytes, '\0');
    put(out, 0, seq);
    put(out, 4, ack);
    put(out, 8, sum);
    put(out, 12, echo);
    put(out, 16, source.ip);
    put(out, 20, destination.ip);
    put(out, 24, destination.port);
    put(out, 26, source.port);
    put(out, 28, flags);
    put(out, 30, static_cast<std::uint16_t>(data.size()));
    return out + data;
}

std::optional<Packet> Packet::read(std::string_view bytes)
{
    if (bytes.size() < HeadBytes)
        return std::nullopt;
    Packet out;
    out.seq = take<std::uint32_t>(bytes, 0);
    out.ack = take<std::uint32_t>(bytes, 4);
    out.sum = take<std::uint32_t>(bytes, 8);
    out.echo = take<std::uint32_t>(bytes, 12);
    out.source = {take<std::uint32_t>(bytes, 16), take<std::uint16_t>(bytes, 26)};
    out.destination = {take<std::uint32_t>(bytes, 20), take<std::uint16_t>(bytes, 24)};
    out.flags = static_cast<std::uint8_t>(bytes[28]);
    out.data = bytes.substr(HeadBytes);
    return out;
}

Datagrams::Datagrams(asio::io_context &context, const Address &local, Receive receive)
    : m_socket(context, local.udp())
    , m_receive(std::move(receive))
{
    m_socket.non_blocking(true);
    read();
}

void Datagrams::send(const Address &to, const std::string &bytes)
{
    boost::system::error_code lost;
    m_socket.send_to(asio::buffer(bytes), to.udp(), 0, lost);
}

void Datagrams::read()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender,
        [this](boost::system::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                m_receive({m_buffer.data(), size},
                          {m_sender.address().to_v4().to_uint(), m_sender.port()});
            read();
        });
}

void after(asio::io_context &context, Clock::duration wait, std::function<void()> step)
{
    const auto timer = std::make_shared<asio::steady_timer>(context, wait);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

void Record::line(const std::string &text)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", secondsOf(Clock::now()));
    m_out << stamp << text << std::endl;
}

void Record::tell(const std::string &text)
{
    line(text);
    std::cout << text << std::endl;
}

} // namespace review
