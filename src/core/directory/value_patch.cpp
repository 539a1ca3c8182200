#include "core/directory/value_patch.h"

#include "core/impl/zstd_context.h"

#include <algorithm>
#include <bit>
#include <stdexcept>

namespace baobabtrail {

namespace {

/// The fastest level; higher ones save little, since the base contains nearly all of the value.
constexpr int Level = 1;
/// Largest value that a patch may produce: eight times the store's limit for an object.
constexpr std::uint64_t MaxValueBytes = 8 << 20;
/// The window spans base and value together; otherwise the codec would not find the matches.
constexpr int MinWindowLog = 16;
constexpr int MaxWindowLog = 25;

[[nodiscard]] int windowLog(std::size_t bytes) noexcept
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog, MaxWindowLog);
}

} // namespace

std::string makePatch(std::string_view base, std::string_view value)
{
    const impl::ZstdCompressor context{ZSTD_createCCtx()};
    if (!context)
        throw std::runtime_error("zstd: no memory");
    impl::checkZstd(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, Level));
    impl::checkZstd(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1));
    impl::checkZstd(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                                           windowLog(base.size() + value.size())));
    impl::checkZstd(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    std::string patch(ZSTD_compressBound(value.size()), '\0');
    patch.resize(impl::checkZstd(
        ZSTD_compress2(context.get(), patch.data(), patch.size(), value.data(), value.size())));
    patch.shrink_to_fit(); // The patch is cached for the next follower.
    return patch;
}

std::optional<std::string> applyPatch(std::string_view base, std::string_view patch)
{
    const std::uint64_t size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MaxValueBytes)
        return std::nullopt;
    const impl::ZstdDecompressor context{ZSTD_createDCtx()};
    if (!context)
        return std::nullopt;
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(size, '\0');
    const std::size_t result = ZSTD_decompressDCtx(context.get(), value.data(), value.size(),
                                                   patch.data(), patch.size());
    if (ZSTD_isError(result) != 0 || result != size)
        return std::nullopt;
    return value;
}

} // namespace baobabtrail
