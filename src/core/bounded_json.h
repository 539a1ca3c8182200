#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <string_view>

namespace baobabtrail {

/// \brief Parses one JSON document that another process may have written in any form.
///
/// The one bound on its depth: where two readers of an entry had bounds of their own, one daemon
/// would use what another refuses.
///
/// \throws boost::system::system_error if the text is not JSON in valid UTF-8, or nested too
/// deeply.
[[nodiscard]] inline boost::json::value parseBounded(std::string_view text)
{
    // Valid objects of the platform are nested at most 8 deep; values are freed recursively.
    constexpr std::size_t maxNesting = 64;
    boost::json::parse_options options;
    options.max_depth = maxNesting;
    return boost::json::parse({text.data(), text.size()}, {}, options);
}

} // namespace baobabtrail
