#pragma once

#include "language/backend.h"

#include <string>
#include <string_view>

namespace baobabtrail::ctl {

/// \brief Parses a result from the JSON that language::toJson() writes.
/// \throws std::invalid_argument if the JSON is malformed or is not a result.
[[nodiscard]] language::Result readResult(std::string_view json);

/// \return The messages, one a line, followed by the table with aligned columns.
[[nodiscard]] std::string renderText(const language::Result &result);

} // namespace baobabtrail::ctl
