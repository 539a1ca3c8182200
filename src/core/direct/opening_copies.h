#pragma once

/// \file
/// \brief The copies of an opening segment, which a caller sends until its flow is open, and how
/// long each may wait here.

#include "core/direct/segment.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace baobabtrail {

/// When a caller sends each copy, and finally gives up, after the first one.
inline constexpr std::array<Duration, 4> OpeningCopiesAt{0ms, 200ms, 600ms, 1400ms};

/// \return How long a caller has waited when it sends the copy that \a retransmits precede.
[[nodiscard]] constexpr Duration openingSentAfter(std::uint8_t retransmits) noexcept
{
    return OpeningCopiesAt[std::min<std::size_t>(retransmits, OpeningCopiesAt.size() - 2)];
}

/// \return How long the copy that \a retransmits precede may wait and still be placed.
///
/// After that its caller sends the next copy, perhaps to another daemon, which places it at a
/// target of its own choice. An older copy that was placed too would bring a second answer, whose
/// label the caller would echo from then on: its flow's own target would get no more segments. So
/// at most one copy of an opening may be placed at a time, and its answer has to be there before
/// the next one is sent.
[[nodiscard]] constexpr Duration openingPlaceableFor(std::uint8_t retransmits) noexcept
{
    constexpr Duration answerTime = 50ms;
    const std::size_t copy = std::min<std::size_t>(retransmits, OpeningCopiesAt.size() - 2);
    return OpeningCopiesAt[copy + 1] - OpeningCopiesAt[copy] - answerTime;
}

/// \return Until when an opening segment may be placed; nothing where its arrival is unknown.
[[nodiscard]] constexpr std::optional<TimePoint> placeableUntil(const Segment &opening) noexcept
{
    if (!opening.receivedAt)
        return std::nullopt;
    return *opening.receivedAt + openingPlaceableFor(opening.retransmits);
}

} // namespace baobabtrail
