#include "wire/codec.h"

#include <boost/endian/conversion.hpp>

namespace baobabtrail::wire {

namespace {

// Layout of a PROXY protocol version 2 header: signature, version and command, address family and
// transport, length of the rest, addresses.
constexpr std::string_view Signature{"\x0d\x0a\x0d\x0a\x00\x0d\x0a\x51\x55\x49\x54\x0a", 12};
constexpr char VersionAndProxy = 0x21;
constexpr char DatagramOverIpv4 = 0x12;
constexpr std::size_t FixedBytes = 16;
constexpr std::size_t AddressBytes = 12;
constexpr std::size_t SourceAddressAt = FixedBytes;
constexpr std::size_t SourcePortAt = FixedBytes + 8;

template <typename Number>
void append(std::string &out, Number number)
{
    const Number big = boost::endian::native_to_big(number);
    out.append(reinterpret_cast<const char *>(&big), sizeof big);
}

template <typename Number>
[[nodiscard]] Number numberAt(std::string_view bytes, std::size_t at) noexcept
{
    Number big;
    bytes.copy(reinterpret_cast<char *>(&big), sizeof big, at);
    return boost::endian::big_to_native(big);
}

} // namespace

std::string proxyHeader(const Endpoint &source, const Endpoint &destination)
{
    std::string out{Signature};
    out.push_back(VersionAndProxy);
    out.push_back(DatagramOverIpv4);
    append(out, static_cast<std::uint16_t>(AddressBytes));
    append(out, source.address);
    append(out, destination.address);
    append(out, source.port);
    append(out, destination.port);
    return out;
}

std::optional<ProxiedDatagram> parseProxied(std::string_view bytes)
{
    if (bytes.size() < FixedBytes + AddressBytes || !bytes.starts_with(Signature))
        return std::nullopt;
    if (bytes[12] != VersionAndProxy || bytes[13] != DatagramOverIpv4)
        return std::nullopt;
    // The length also covers optional TLVs after the addresses; these are skipped.
    const std::size_t length = numberAt<std::uint16_t>(bytes, 14);
    if (length < AddressBytes || bytes.size() < FixedBytes + length)
        return std::nullopt;
    const Endpoint source{numberAt<std::uint32_t>(bytes, SourceAddressAt),
                          numberAt<std::uint16_t>(bytes, SourcePortAt)};
    return ProxiedDatagram{source, bytes.substr(FixedBytes + length)};
}

} // namespace baobabtrail::wire
