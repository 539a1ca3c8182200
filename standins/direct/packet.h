#pragma once

/// \file
/// \brief Packet format of the platform's callers and targets.

#include "core/direct/segment.h"

#include <boost/endian/conversion.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::standins {

/// \brief One packet, with encoding and decoding.
struct Packet
{
    static constexpr std::uint8_t Syn = 128;
    static constexpr std::uint8_t Ack = 8;
    static constexpr std::uint8_t Fin = 2;
    static constexpr std::uint8_t Rst = 32;
    static constexpr std::size_t HeadBytes = 32;

    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t sum = 0; ///< 0 only in packets that the balancer originates.
    std::uint32_t echo = 0;
    Endpoint source;
    Endpoint destination;
    std::uint8_t flags = 0;
    std::string data;

    [[nodiscard]] bool has(std::uint8_t flag) const noexcept { return (flags & flag) != 0; }

    [[nodiscard]] std::string bytes() const
    {
        std::string out(HeadBytes, '\0');
        put(out, 0, seq);
        put(out, 4, ack);
        put(out, 8, sum);
        put(out, 12, echo);
        put(out, 16, source.address);
        put(out, 20, destination.address);
        put(out, 24, destination.port);
        put(out, 26, source.port);
        put(out, 28, flags);
        put(out, 30, static_cast<std::uint16_t>(data.size()));
        return out + data;
    }

    [[nodiscard]] static std::optional<Packet> read(std::string_view bytes)
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
        out.flags = take<std::uint8_t>(bytes, 28);
        out.data = bytes.substr(HeadBytes);
        return out;
    }

    template <typename Number>
    static Number take(std::string_view bytes, std::size_t at)
    {
        using boost::endian::order;
        return boost::endian::endian_load<Number, sizeof(Number), order::big>(
            reinterpret_cast<const unsigned char *>(bytes.data()) + at);
    }

    template <typename Number>
    static void put(std::string &bytes, std::size_t at, Number value)
    {
        using boost::endian::order;
        boost::endian::endian_store<Number, sizeof(Number), order::big>(
            reinterpret_cast<unsigned char *>(bytes.data()) + at, value);
    }
};

} // namespace baobabtrail::standins
