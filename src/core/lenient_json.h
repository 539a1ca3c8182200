#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <string_view>

namespace baobabtrail {

/// \brief Reads JSON that one writer among many may have spoilt.
///
/// One entry with bytes that are no UTF-8, or that is nested deeply, would make a whole list
/// unreadable: no daemon could start, and none would hear of a change any more. Such an entry is
/// read here and refused by itself, for what it lacks.
/// \throws boost::system::system_error Where the text is no JSON.
[[nodiscard]] inline boost::json::value parseLeniently(std::string_view text)
{
    // Nothing on the platform is nested deeper than 8; bounded, since values are freed recursively.
    constexpr std::size_t maxNesting = 512;
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    options.max_depth = maxNesting;
    return boost::json::parse({text.data(), text.size()}, {}, options);
}

} // namespace baobabtrail
