#pragma once

#include "core/config/impl/json_fields.h"

#include <string>
#include <string_view>

namespace baobabtrail::test {

/// \return A record with a valid checksum for its changed text, as if a newer version of the
/// program had written it.
[[nodiscard]] inline std::string recomputeChecksum(const std::string &text)
{
    constexpr std::string_view Begin = "\"record\":";
    const std::size_t begin = text.find(Begin) + Begin.size();
    const std::string body = text.substr(begin, text.size() - begin - 1);
    return R"({"checksum":")" + impl::checksum(body) + R"(","record":)" + body + '}';
}

} // namespace baobabtrail::test
