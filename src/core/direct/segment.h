#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <cstdint>

namespace baobabtrail {

/// \brief 32 bits that a daemon writes into a flow's first segment and both ends bring back: they
/// say which target holds the flow. 0 where nothing was written yet.
using FlowLabel = StrongId<struct FlowLabelTag, std::uint32_t>;

/// \brief Both ends of a flow as its caller sees them.
struct FlowKey
{
    Endpoint caller;
    Endpoint service; ///< Address of a route.

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

/// \brief One packet from a caller: what of its header matters to a load balancer.
struct Segment
{
    FlowKey flow;
    std::uint32_t sequence = 0;     ///< Of its first byte.
    std::uint32_t acknowledged = 0; ///< First byte that the caller has not received yet.
    FlowLabel label;
    std::uint16_t length = 0;     ///< Bytes of data.
    std::uint8_t retransmits = 0; ///< Only of an opening segment: how often it was sent before.
    bool opens = false;
    bool finishes = false;
    bool aborts = false;
};

/// \return Whether sequence number \a a is later than \a b, which may have wrapped round.
[[nodiscard]] constexpr bool isLater(std::uint32_t a, std::uint32_t b) noexcept
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace baobabtrail
