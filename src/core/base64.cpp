#include "core/base64.h"

#include <sodium.h>

#include <stdexcept>

namespace baobabtrail {

std::string toBase64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string out(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
                      bytes.size(), variant);
    out.pop_back(); // the terminating null
    return out;
}

std::string fromBase64(std::string_view text)
{
    std::string out(text.size(), '\0');
    std::size_t length = 0;
    const int status
        = sodium_base642bin(reinterpret_cast<unsigned char *>(out.data()), out.size(), text.data(),
                            text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (status != 0)
        throw std::runtime_error("a value is not base64");
    out.resize(length);
    return out;
}

} // namespace baobabtrail
