#pragma once

#include "core/notice.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabtrail::daemon {

/// \brief Rate limit for log lines: bounds the lines of each kind per second.
///
/// Two lines are of the same kind if their part and their text without digits are equal. Traffic
/// can cause the same line thousands of times a second; writing them all would slow down forwarding
/// and hide the other lines.
class LogLimiter
{
public:
    explicit LogLimiter(std::uint32_t linesPerSecond) noexcept
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// \brief Decides whether a line is written.
    /// \return The number of lines of its kind that were suppressed since the last one written;
    /// nothing if this line is to be suppressed too.
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
