#include "wire/packed_text.h"

#include <array>
#include <cstdint>
#include <utility>

namespace baobabtrail::wire {

namespace {

/// The fastest level: a daemon packs while others wait for it.
constexpr int Level = 1;
constexpr std::size_t BlockBytes = 32 << 10;
/// Bound on an unpacked text: what a daemon with the memory that it may use can hold.
constexpr std::uint64_t MaxTextBytes = 32 << 20;

} // namespace

TextPacker::TextPacker()
    : m_context(ZSTD_createCCtx())
{
    if (!m_context)
        throw std::runtime_error("zstd: no memory");
    impl::checkZstd(ZSTD_CCtx_setParameter(m_context.get(), ZSTD_c_compressionLevel, Level));
    impl::checkZstd(ZSTD_CCtx_setParameter(m_context.get(), ZSTD_c_checksumFlag, 1));
}

void TextPacker::write(std::string_view text)
{
    compress(text, ZSTD_e_continue);
}

std::string TextPacker::finish()
{
    compress({}, ZSTD_e_end);
    m_packed.shrink_to_fit();
    return std::move(m_packed);
}

void TextPacker::compress(std::string_view text, ZSTD_EndDirective end)
{
    ZSTD_inBuffer in{text.data(), text.size(), 0};
    std::array<char, BlockBytes> block{};
    bool done = false;
    while (!done) {
        ZSTD_outBuffer out{block.data(), block.size(), 0};
        const std::size_t left
            = impl::checkZstd(ZSTD_compressStream2(m_context.get(), &out, &in, end));
        m_packed.append(block.data(), out.pos);
        done = end == ZSTD_e_end ? left == 0 : in.pos == in.size;
    }
}

std::string packText(std::string_view text)
{
    TextPacker packer;
    packer.write(text);
    return packer.finish();
}

void unpackText(std::string_view bytes, const std::function<void(std::string_view)> &take)
{
    const impl::ZstdDecompressor context{ZSTD_createDCtx()};
    if (!context)
        throw std::runtime_error("zstd: no memory");
    ZSTD_inBuffer in{bytes.data(), bytes.size(), 0};
    std::array<char, BlockBytes> block{};
    std::uint64_t size = 0;
    std::size_t left = 1;
    while (in.pos < in.size) {
        ZSTD_outBuffer out{block.data(), block.size(), 0};
        left = impl::checkZstd(ZSTD_decompressStream(context.get(), &out, &in));
        size += out.pos;
        if (size > MaxTextBytes)
            throw std::runtime_error("the text is too long");
        take({block.data(), out.pos});
    }
    // What a full block left in the decompressor.
    while (left > 0) {
        ZSTD_outBuffer out{block.data(), block.size(), 0};
        left = impl::checkZstd(ZSTD_decompressStream(context.get(), &out, &in));
        size += out.pos;
        if (out.pos == 0 || size > MaxTextBytes)
            throw std::runtime_error("the text is cut off or too long");
        take({block.data(), out.pos});
    }
}

} // namespace baobabtrail::wire
