#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <string_view>

namespace baobabtrail {

/// \brief Parses a JSON list in which single entries may be malformed.
///
/// With strict parsing, one entry that has invalid UTF-8 or is deeply nested would make the whole
/// list unreadable: no daemon could start or learn of further changes. Here such an entry is
/// parsed, so that the caller can reject it alone by its missing or invalid fields.
///
/// \throws boost::system::system_error if the text is not JSON.
[[nodiscard]] inline boost::json::value parseLeniently(std::string_view text)
{
    // Valid objects of the platform are nested at most 8 deep. The bound is needed because values
    // are freed recursively.
    constexpr std::size_t maxNesting = 512;
    boost::json::parse_options options;
    options.allow_invalid_utf8 = true;
    options.max_depth = maxNesting;
    return boost::json::parse({text.data(), text.size()}, {}, options);
}

} // namespace baobabtrail
