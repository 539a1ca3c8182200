#pragma once

#include <zstd.h>

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>

namespace baobabtrail::impl {

struct FreeZstdContext
{
    void operator()(ZSTD_CCtx *context) const noexcept { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx *context) const noexcept { ZSTD_freeDCtx(context); }
};
using ZstdCompressor = std::unique_ptr<ZSTD_CCtx, FreeZstdContext>;
using ZstdDecompressor = std::unique_ptr<ZSTD_DCtx, FreeZstdContext>;

/// \return The result, where it is no error.
/// \throws std::runtime_error where it is one.
inline std::size_t checkZstd(std::size_t result)
{
    if (ZSTD_isError(result) != 0)
        throw std::runtime_error(std::string{"zstd: "} + ZSTD_getErrorName(result));
    return result;
}

} // namespace baobabtrail::impl
