#pragma once

#include <string_view>

namespace baobabtrail::daemon {

/// \brief Tells a target's envelope from the other frames of a socket.
///
/// The frames are protobuf messages without a common envelope, and parsing one as another may seem
/// to work. A target's envelope begins with the caller's address, a fixed64 of field 1 (tag 9);
/// field 1 of a caller's frame and of a message between daemons is of another wire type.
[[nodiscard]] constexpr bool isTargetFrame(std::string_view bytes) noexcept
{
    constexpr char callerAddressTag = (1 << 3) | 1;
    return !bytes.empty() && bytes.front() == callerAddressTag;
}

} // namespace baobabtrail::daemon
