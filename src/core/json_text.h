#pragma once

/// \file
/// \brief Takes a JSON text apart without reading what is inside its values.
///
/// A list of objects may contain one that a parser doesn't accept: half of a surrogate pair,
/// nesting without end, a number out of range. Parsed as a whole, such an object makes all others
/// unreadable too. Here the list is split at its structure alone, without recursion, so that each
/// object can be read, or refused, by itself, and passed on as it was written.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail {

/// \brief A text lacks the structure that its reader expects.
struct JsonTextError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

class JsonObjectText;

/// \brief The text of one JSON value, which need not be one that a parser accepts.
///
/// \code
/// for (const JsonText &item : JsonText{body}.object().at("items").elements())
///     out.push_back(std::string{item.object().at("spec").text()});
/// \endcode
class JsonText
{
public:
    /// \param text Has to outlive this object and all that are taken from it.
    explicit JsonText(std::string_view text) noexcept;

    /// \return The text without white space around it.
    [[nodiscard]] std::string_view text() const noexcept { return m_text; }

    /// \throws JsonTextError if this is no object.
    [[nodiscard]] JsonObjectText object() const;
    /// \throws JsonTextError if this is no array.
    [[nodiscard]] std::vector<JsonText> elements() const;
    /// \return The string; half of a surrogate pair in it becomes the three bytes that UTF-8 would
    /// have for it, so that different strings stay different.
    /// \throws JsonTextError if this is no string.
    [[nodiscard]] std::string string() const;
    /// \return Whether this is that string.
    [[nodiscard]] bool isString(std::string_view text) const;
    /// \throws JsonTextError if this is neither true nor false.
    [[nodiscard]] bool boolean() const;
    /// \throws JsonTextError if this is no whole number of 64 bits.
    [[nodiscard]] std::uint64_t wholeNumber() const;

private:
    std::string_view m_text;
};

/// \brief The members of a JSON object, each as its text.
class JsonObjectText
{
public:
    /// \return The last member of that name, or null.
    [[nodiscard]] const JsonText *find(std::string_view name) const;
    /// \return The last member of that name.
    /// \throws JsonTextError if there is none.
    [[nodiscard]] const JsonText &at(std::string_view name) const;

private:
    friend class JsonText;
    struct Member
    {
        JsonText name;
        JsonText value;
    };
    std::vector<Member> m_members;
};

} // namespace baobabtrail
