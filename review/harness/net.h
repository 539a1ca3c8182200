#pragma once

/// \file
/// \brief Addresses, packets, timers and the record of a run.

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

/// \brief An IPv4 address with a port.
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
    [[nodiscard]] std::string host() const { return asio::ip::address_v4{ip}.to_string(); }
    [[nodiscard]] std::string text() const { return host() + ':' + std::to_string(port); }
    [[nodiscard]] Udp::endpoint udp() const { return {asio::ip::address_v4{ip}, port}; }
    [[nodiscard]] Tcp::endpoint tcp() const { return {asio::ip::address_v4{ip}, port}; }
};

/// \brief A packet as PROTOCOL.md lays it out: a head of 32 bytes, then the data.
struct Packet
{
    static constexpr std::uint8_t Syn = 128;
    static constexpr std::uint8_t Ack = 8;
    static constexpr std::uint8_t Fin = 2;
    static constexpr std::uint8_t Rst = 32;
    static constexpr std::size_t HeadBytes = 32;

    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t sum = 1; ///< 0 in a reset of the system's own; no stand-in checks the key.
    std::uint32_t echo = 0;
    Address source;
    Address destination;
    std::uint8_t flags = 0;
    std::string data;

    [[nodiscard]] bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    [[nodiscard]] std::string bytes() const;
    [[nodiscard]] static std::optional<Packet> read(std::string_view bytes);
};

/// \brief A UDP socket that hands each datagram to a function.
class Datagrams
{
public:
    using Receive = std::function<void(std::string_view bytes, const Address &sender)>;

    Datagrams(asio::io_context &context, const Address &local, Receive receive);
    void send(const Address &to, const std::string &bytes);

private:
    void read();

    Udp::socket m_socket;
    Udp::endpoint m_sender;
    Receive m_receive;
    std::array<char, 2048> m_buffer{};
};

/// \brief Calls \a step after \a wait, once.
void after(asio::io_context &context, Clock::duration wait, std::function<void()> step);

/// \brief The record of a run: lines with the time since its start, in record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path)
        , m_start(Clock::now())
    {
    }

    void line(const std::string &text);
    /// \brief Writes a line to standard output as well.
    void tell(const std::string &text);
    [[nodiscard]] double secondsOf(Time time) const
    {
        return std::chrono::duration<double>(time - m_start).count();
    }
    [[nodiscard]] Time start() const { return m_start; }

private:
    std::ofstream m_out;
    Time m_start;
};

} // namespace review
