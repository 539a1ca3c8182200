#include "core/json_text.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace baobabtrail {

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

constexpr std::size_t EscapedUnitDigits = 4; ///< Of "\uXXXX".

/// \brief A position in a text, which moves on value by value.
class Cursor
{
public:
    explicit Cursor(std::string_view text) noexcept
        : m_text(text)
    {
    }

    [[nodiscard]] bool takes(char c) noexcept
    {
        skipSpace();
        if (m_at >= m_text.size() || m_text[m_at] != c)
            return false;
        ++m_at;
        return true;
    }
    void expect(char c)
    {
        if (!takes(c))
            throw JsonTextError(std::string{"expected '"} + c + "' at byte "
                                + std::to_string(m_at));
    }
    void expectEnd()
    {
        skipSpace();
        if (m_at < m_text.size())
            throw JsonTextError("goes on behind its end");
    }
    /// \return The text of the next value.
    [[nodiscard]] std::string_view takeValue()
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

private:
    void skipSpace() noexcept
    {
        const std::size_t next = m_text.find_first_not_of(WhiteSpace, m_at);
        m_at = next == std::string_view::npos ? m_text.size() : next;
    }

    /// \return The depth behind the next token within a value, which may begin at any depth. Only
    /// the number of brackets counts, not their kinds: what is inside is for the value's reader.
    [[nodiscard]] std::size_t passToken(std::size_t depth)
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

    void passString()
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

    std::string_view m_text;
    std::size_t m_at = 0;
};

[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept
{
    const std::size_t start = text.find_first_not_of(WhiteSpace);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(WhiteSpace) + 1 - start);
}

void appendUtf8(std::string &out, std::uint32_t code)
{
    const auto byte = [&out](std::uint32_t value) { out.push_back(static_cast<char>(value)); };
    if (code < 0x80) {
        byte(code);
        return;
    }
    if (code < 0x800) {
        byte(0xC0 | code >> 6);
    } else {
        if (code < 0x10000) {
            byte(0xE0 | code >> 12);
        } else {
            byte(0xF0 | code >> 18);
            byte(0x80 | (code >> 12 & 0x3F));
        }
        byte(0x80 | (code >> 6 & 0x3F));
    }
    byte(0x80 | (code & 0x3F));
}

/// \brief Reads the four digits of "\uXXXX" at the front of \a text, and removes them.
[[nodiscard]] std::uint32_t takeUnit(std::string_view &text)
{
    std::uint32_t unit = 0;
    const char *end = text.data() + std::min(text.size(), EscapedUnitDigits);
    const auto [read, status] = std::from_chars(text.data(), end, unit, 16);
    if (status != std::errc{} || read != text.data() + EscapedUnitDigits)
        throw JsonTextError("a string has an escape without four digits");
    text.remove_prefix(EscapedUnitDigits);
    return unit;
}

/// \brief Reads the rest of an escaped character behind "\u", with its second half where it is one.
[[nodiscard]] std::uint32_t takeCode(std::string_view &text)
{
    const std::uint32_t unit = takeUnit(text);
    const bool high = unit >= 0xD800 && unit < 0xDC00;
    if (!high || !text.starts_with("\\u"))
        return unit;
    std::string_view rest = text.substr(2);
    const std::uint32_t low = takeUnit(rest);
    if (low < 0xDC00 || low >= 0xE000)
        return unit;
    text = rest;
    return 0x10000 + ((unit - 0xD800) << 10) + (low - 0xDC00);
}

[[nodiscard]] char unescaped(char c)
{
    switch (c) {
    case 'b':
        return '\b';
    case 'f':
        return '\f';
    case 'n':
        return '\n';
    case 'r':
        return '\r';
    case 't':
        return '\t';
    case '"':
    case '\\':
    case '/':
        return c;
    default:
        throw JsonTextError("a string has an unknown escape");
    }
}

} // namespace

JsonText::JsonText(std::string_view text) noexcept
    : m_text(trimmed(text))
{
}

JsonObjectText JsonText::object() const
{
    JsonObjectText out;
    Cursor cursor{m_text};
    cursor.expect('{');
    if (cursor.takes('}')) {
        cursor.expectEnd();
        return out;
    }
    do {
        const JsonText name{cursor.takeValue()};
        cursor.expect(':');
        out.m_members.push_back({name, JsonText{cursor.takeValue()}});
    } while (cursor.takes(','));
    cursor.expect('}');
    cursor.expectEnd();
    return out;
}

const JsonText *JsonObjectText::find(std::string_view name) const
{
    const auto member = std::find_if(m_members.rbegin(), m_members.rend(),
                                     [&](const Member &each) { return each.name.isString(name); });
    return member == m_members.rend() ? nullptr : &member->value;
}

const JsonText &JsonObjectText::at(std::string_view name) const
{
    const JsonText *found = find(name);
    if (!found)
        throw JsonTextError(std::string{name} + " is missing");
    return *found;
}

std::vector<JsonText> JsonText::elements() const
{
    std::vector<JsonText> out;
    Cursor cursor{m_text};
    cursor.expect('[');
    if (cursor.takes(']')) {
        cursor.expectEnd();
        return out;
    }
    do {
        out.emplace_back(cursor.takeValue());
    } while (cursor.takes(','));
    cursor.expect(']');
    cursor.expectEnd();
    return out;
}

std::string JsonText::string() const
{
    if (m_text.size() < 2 || m_text.front() != '"' || m_text.back() != '"')
        throw JsonTextError("expected a string");
    std::string out;
    std::string_view rest = m_text.substr(1, m_text.size() - 2);
    while (!rest.empty()) {
        const std::size_t plain = std::min(rest.find('\\'), rest.size());
        out += rest.substr(0, plain);
        rest.remove_prefix(plain);
        if (rest.size() < 2)
            break;
        const char escape = rest[1];
        rest.remove_prefix(2);
        if (escape == 'u')
            appendUtf8(out, takeCode(rest));
        else
            out.push_back(unescaped(escape));
    }
    return out;
}

bool JsonText::isString(std::string_view text) const
{
    const bool plain = m_text.find('\\') == std::string_view::npos;
    if (!plain || m_text.size() < 2)
        return string() == text;
    return m_text.front() == '"' && m_text.substr(1, m_text.size() - 2) == text;
}

bool JsonText::boolean() const
{
    if (m_text != "true" && m_text != "false")
        throw JsonTextError("expected true or false");
    return m_text == "true";
}

std::uint64_t JsonText::wholeNumber() const
{
    std::uint64_t digits = 0;
    const char *end = m_text.data() + m_text.size();
    const auto [read, status] = std::from_chars(m_text.data(), end, digits);
    if (status == std::errc{} && read == end)
        return digits;
    // One such as 5.0 is as whole as 5.
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse({m_text.data(), m_text.size()}, error);
    const auto number = error ? 0 : value.to_number<std::uint64_t>(error);
    if (error)
        throw JsonTextError("expected a whole number");
    return number;
}

} // namespace baobabtrail
