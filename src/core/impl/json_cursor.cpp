#include "core/impl/json_cursor.h"

#include "core/json_text.h"

#include <array>
#include <string>

namespace baobabtrail::impl {

namespace {

constexpr std::string_view WhiteSpace = " \t\r\n";

/// \brief A set of characters. Looking each one up is several times as fast as
/// std::string_view::find_first_of(), and lists are long.
class CharacterSet
{
public:
    explicit constexpr CharacterSet(std::string_view characters) noexcept
    {
        for (const char c : characters)
            m_contains[static_cast<unsigned char>(c)] = true;
    }
    /// \return Where the first of them is, from \a at on; the size of the text where there is none.
    [[nodiscard]] std::size_t find(std::string_view text, std::size_t at) const noexcept
    {
        while (at < text.size() && !m_contains[static_cast<unsigned char>(text[at])])
            ++at;
        return at;
    }

private:
    std::array<bool, 256> m_contains{};
};

constexpr CharacterSet Structure{"\"{}[]"};
constexpr CharacterSet ScalarEnds{",]} \t\r\n"};
constexpr CharacterSet StringStops{"\"\\"};

} // namespace

bool JsonCursor::takes(char c) noexcept
{
    skipSpace();
    if (m_at >= m_text.size() || m_text[m_at] != c)
        return false;
    ++m_at;
    return true;
}

void JsonCursor::expect(char c)
{
    if (!takes(c))
        throw JsonTextError(std::string{"expected '"} + c + "' at byte " + std::to_string(m_at));
}

void JsonCursor::expectEnd()
{
    skipSpace();
    if (m_at < m_text.size())
        throw JsonTextError("goes on behind its end");
}

std::string_view JsonCursor::takeValue()
{
    skipSpace();
    const std::size_t start = m_at;
    std::size_t depth = 0;
    do {
        depth = passToken(depth);
    } while (depth > 0);
    if (m_at == start)
        throw JsonTextError("expected a value at byte " + std::to_string(start));
    return m_text.substr(start, m_at - start);
}

void JsonCursor::skipSpace() noexcept
{
    const std::size_t next = m_text.find_first_not_of(WhiteSpace, m_at);
    m_at = next == std::string_view::npos ? m_text.size() : next;
}

std::size_t JsonCursor::passToken(std::size_t depth)
{
    if (depth > 0)
        m_at = Structure.find(m_text, m_at);
    if (m_at >= m_text.size())
        throw JsonTextError("ends within a value");
    switch (m_text[m_at]) {
    case '"':
        passString();
        return depth;
    case '{':
    case '[':
        ++m_at;
        return depth + 1;
    case '}':
    case ']':
        if (depth == 0)
            return 0;
        ++m_at;
        return depth - 1;
    default:
        m_at = ScalarEnds.find(m_text, m_at);
        return depth;
    }
}

void JsonCursor::passString()
{
    for (++m_at; m_at < m_text.size(); ++m_at) {
        m_at = StringStops.find(m_text, m_at);
        if (m_at >= m_text.size())
            break;
        if (m_text[m_at] == '"') {
            ++m_at;
            return;
        }
        ++m_at; // The escaped character.
    }
    throw JsonTextError("ends within a string");
}

} // namespace baobabtrail::impl
