#pragma once

#include "core/impl/zstd_context.h"

#include <functional>
#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// \brief Compresses a text that is written piece by piece.
class TextPacker
{
public:
    /// \throws std::runtime_error where there is no memory for it.
    TextPacker();

    void write(std::string_view text);
    /// \brief Ends the text. \return Its packed form.
    [[nodiscard]] std::string finish();

private:
    void compress(std::string_view text, ZSTD_EndDirective end);

    impl::ZstdCompressor m_context;
    std::string m_packed;
};

/// \return The packed form of the whole text.
[[nodiscard]] std::string packText(std::string_view text);

/// \brief Decompresses a packed text, or several of them in a row as one.
/// \param take Called with each piece.
/// \throws std::runtime_error if the bytes are not a packed text, or one that is too long.
void unpackText(std::string_view bytes, const std::function<void(std::string_view)> &take);

} // namespace baobabtrail::wire
