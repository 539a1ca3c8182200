#include "core/json_text.h"

#include "core/impl/json_cursor.h"
#include "core/impl/json_string.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace baobabtrail {

namespace {

[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept
{
    constexpr std::string_view space = " \t\r\n";
    const std::size_t start = text.find_first_not_of(space);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(space) + 1 - start);
}

} // namespace

JsonText::JsonText(std::string_view text) noexcept
    : m_text(trimmed(text))
{
}

JsonObjectText JsonText::object() const
{
    JsonObjectText out;
    impl::JsonCursor cursor{m_text};
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
    impl::JsonCursor cursor{m_text};
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
    return impl::unescapeJson(m_text.substr(1, m_text.size() - 2));
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
