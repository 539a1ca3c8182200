#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail {

/// \brief An IPv4 address and a port, both in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    [[nodiscard]] constexpr bool isNull() const noexcept { return port == 0; }
    friend constexpr auto operator<=>(const Endpoint &, const Endpoint &) noexcept = default;
    friend std::size_t hash_value(const Endpoint &e) noexcept
    {
        return std::hash<std::uint64_t>{}((std::uint64_t{e.address} << 16) | e.port);
    }
};

/// \return The endpoint in the form "127.0.0.1:9000".
[[nodiscard]] std::string toString(const Endpoint &endpoint);

/// \brief Parses an endpoint such as "127.0.0.1:9000".
/// \return The endpoint, or nothing if the text is not an IPv4 address with a port from 1 to 65535.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace baobabtrail

template <>
struct std::hash<baobabtrail::Endpoint>
{
    std::size_t operator()(const baobabtrail::Endpoint &e) const noexcept { return hash_value(e); }
};
