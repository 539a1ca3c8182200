#pragma once

#include "language/backend.h"

#include <string>
#include <string_view>

namespace baobabtrail::ctl {

/// \brief Reads the JSON of language::toJson().
/// \throws std::invalid_argument where the text is something else.
[[nodiscard]] language::Result readResult(std::string_view json);

/// \return Messages, then the table with aligned columns.
[[nodiscard]] std::string renderText(const language::Result &result);

} // namespace baobabtrail::ctl
