#pragma once

#include "core/notice.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabtrail::daemon {

/// \brief Bounds the lines of one kind that are written in a second.
///
/// Lines are of one kind where their part and their text without digits are the same. Traffic
/// can bring about the same line thousands of times a second; writing all would slow down
/// forwarding and hide the other lines.
class LogLimiter
{
public:
    explicit LogLimiter(std::uint32_t linesPerSecond) noexcept
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// \return How many of the kind were left out since the last one that was written, or nothing
    /// where this one is to be left out too.
    [[nodiscard]] std::optional<std::uint64_t> admit(Part part, std::string_view text,
                                                     TimePoint now);

private:
    struct Kind
    {
        TimePoint second;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::unordered_map<std::string, Kind> m_kinds;
};

} // namespace baobabtrail::daemon
