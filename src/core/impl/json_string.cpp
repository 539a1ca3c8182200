#include "core/impl/json_string.h"

#include "core/json_text.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace baobabtrail::impl {

namespace {

constexpr std::size_t EscapedUnitDigits = 4; ///< Of "\uXXXX".

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

std::string unescapeJson(std::string_view rest)
{
    std::string out;
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

} // namespace baobabtrail::impl
