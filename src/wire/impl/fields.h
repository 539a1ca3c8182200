#pragma once

/// \file
/// \brief Conversion of single fields between C++ and protobuf, shared by all kinds of frames.

#include "core/endpoint.h"
#include "core/load.h"
#include "core/time.h"
#include "core/tokens.h"
#include "wire/frames.pb.h"

#include <bit>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::wire::impl {

/// Longest duration that is accepted, in microseconds (366 days). A malicious value near the limit
/// of 64 bits would overflow when added to a time; this bound is far above any real duration and
/// far below overflow.
inline constexpr std::uint64_t MaxMicroseconds = 366ULL * 24 * 3600 * 1'000'000;

[[nodiscard]] constexpr std::uint64_t packEndpoint(const Endpoint &endpoint) noexcept
{
    return std::uint64_t{endpoint.address} << 16 | endpoint.port;
}

/// \return The endpoint in the lower 48 bits; the other bits are ignored.
[[nodiscard]] constexpr Endpoint unpackEndpoint(std::uint64_t packed) noexcept
{
    return {static_cast<std::uint32_t>(packed >> 16), static_cast<std::uint16_t>(packed)};
}

[[nodiscard]] constexpr std::uint64_t packDuration(Duration duration) noexcept
{
    if (duration.count() < 0)
        return 0;
    return std::min(static_cast<std::uint64_t>(duration.count()), MaxMicroseconds);
}

[[nodiscard]] constexpr bool readDuration(std::uint64_t packed, Duration &out) noexcept
{
    out = Duration{packed};
    return packed <= MaxMicroseconds;
}

/// \brief Converts a protobuf enum number.
/// \return Whether the number is in the range from 0 to \a last.
template <typename Enum>
[[nodiscard]] constexpr bool readEnum(int number, Enum last, Enum &out) noexcept
{
    out = static_cast<Enum>(number);
    return number >= 0 && number <= static_cast<int>(last);
}

struct PackedMac
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

[[nodiscard]] inline PackedMac packMac(const Mac &mac) noexcept
{
    return std::bit_cast<PackedMac>(mac);
}

[[nodiscard]] inline Mac unpackMac(std::uint64_t first, std::uint64_t second) noexcept
{
    return std::bit_cast<Mac>(PackedMac{first, second});
}

void write(const FlowToken &in, pb::FlowToken &out);
[[nodiscard]] FlowToken read(const pb::FlowToken &in) noexcept;

void write(const ReservationToken &in, pb::ReservationToken &out);
[[nodiscard]] ReservationToken read(const pb::ReservationToken &in) noexcept;

void write(const LoadReport &in, pb::LoadReport &out);
[[nodiscard]] LoadReport read(const pb::LoadReport &in) noexcept;

[[nodiscard]] inline bool parse(std::string_view bytes, google::protobuf::MessageLite &out)
{
    return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace baobabtrail::wire::impl
