#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace baobabtrail {

/// \brief 32 bits that identify the target of a flow; 0 where no daemon has written them yet.
///
/// A daemon writes the label into the flow's first segment, and both ends echo it in all later
/// ones.
using FlowLabel = StrongId<struct FlowLabelTag, std::uint32_t>;

/// \brief The two endpoints of a flow as its caller sees them.
struct FlowKey
{
    Endpoint caller;
    Endpoint service; ///< Address of the route.

    friend constexpr auto operator<=>(const FlowKey &, const FlowKey &) noexcept = default;
    friend std::size_t hash_value(const FlowKey &key) noexcept
    {
        constexpr std::size_t spread = 0x9E3779B97F4A7C15ULL;
        return hash_value(key.caller) * spread ^ hash_value(key.service);
    }
};

struct FlowKeyHash
{
    std::size_t operator()(const FlowKey &key) const noexcept { return hash_value(key); }
};

/// \brief A packet from a caller, reduced to the header fields that a load balancer needs.
struct Segment
{
    FlowKey flow;
    std::uint32_t sequence = 0;     ///< Sequence number of the first data byte.
    std::uint32_t acknowledged = 0; ///< Sequence number of the next byte that the caller expects.
    FlowLabel label;
    std::uint16_t length = 0;     ///< Payload in bytes.
    std::uint8_t retransmits = 0; ///< Times an opening segment was sent before; 0 for others.
    bool opens = false;
    bool finishes = false;
    bool aborts = false;
    /// By this VM's kernel, however long it waited since; nothing where that is unknown.
    std::optional<TimePoint> receivedAt{};

    /// \return How long it has waited on this VM; 0 where that is unknown.
    [[nodiscard]] Duration waited(TimePoint now) const noexcept
    {
        return std::max(now - receivedAt.value_or(now), Duration{0});
    }
};

/// \return Whether sequence number \a a comes after \a b, modulo 2^32.
[[nodiscard]] constexpr bool isLater(std::uint32_t a, std::uint32_t b) noexcept
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace baobabtrail
