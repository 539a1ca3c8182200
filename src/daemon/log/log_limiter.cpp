#include "daemon/log/log_limiter.h"

#include <utility>

namespace baobabtrail::daemon {

namespace {

// Bounds the table, since callers control parts of some texts: beyond this many kinds, all further
// kinds of a part share one limit.
constexpr std::size_t MaxKinds = 512;

[[nodiscard]] std::string kindOf(Part part, std::string_view text)
{
    std::string kind{static_cast<char>(part)};
    for (const char c : text) {
        if (c < '0' || c > '9')
            kind += c;
    }
    return kind;
}

} // namespace

std::optional<std::uint64_t> LogLimiter::admit(Part part, std::string_view text, TimePoint now)
{
    std::string name = kindOf(part, text);
    if (m_kinds.size() >= MaxKinds && !m_kinds.contains(name))
        name = kindOf(part, {});

    Kind &kind = m_kinds[std::move(name)];
    if (now - kind.second >= 1s) {
        kind.second = now;
        kind.written = 0;
    }
    if (kind.written >= m_linesPerSecond) {
        ++kind.leftOut;
        return std::nullopt;
    }
    ++kind.written;
    return std::exchange(kind.leftOut, 0);
}

} // namespace baobabtrail::daemon
