#pragma once

#include <cstddef>
#include <string_view>

namespace baobabtrail::impl {

/// \brief A position in a JSON text, which moves on value by value.
class JsonCursor
{
public:
    explicit JsonCursor(std::string_view text) noexcept
        : m_text(text)
    {
    }

    /// \brief Moves past \a c if that is next, but for white space. \return Whether it was.
    [[nodiscard]] bool takes(char c) noexcept;
    /// \throws JsonTextError if \a c is not next.
    void expect(char c);
    /// \throws JsonTextError if more than white space is left.
    void expectEnd();
    /// \return The text of the next value.
    /// \throws JsonTextError if there is none, or it has no end.
    [[nodiscard]] std::string_view takeValue();

private:
    void skipSpace() noexcept;
    /// \return The depth behind the next token within a value, which may begin at any depth. Only
    /// the number of brackets counts, not their kinds: what is inside is for the value's reader.
    [[nodiscard]] std::size_t passToken(std::size_t depth);
    void passString();

    std::string_view m_text;
    std::size_t m_at = 0;
};

} // namespace baobabtrail::impl
