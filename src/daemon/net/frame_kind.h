#pragma once

#include <string_view>

namespace baobabtrail::daemon {

/// \brief Returns whether a datagram is a target's envelope, as opposed to another kind of frame.
///
/// The frames are protobuf messages without a common envelope, and parsing one kind as another may
/// succeed. A target's envelope begins with the caller's address, a fixed64 in field 1 (tag 9); in
/// a caller's frame and in a message between daemons field 1 has another wire type.
[[nodiscard]] constexpr bool isTargetFrame(std::string_view bytes) noexcept
{
    constexpr char callerAddressTag = (1 << 3) | 1;
    return !bytes.empty() && bytes.front() == callerAddressTag;
}

} // namespace baobabtrail::daemon
