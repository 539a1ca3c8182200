#pragma once

#include "language/statement.h"

#include <string_view>
#include <variant>

namespace baobabtrail::language {

/// \brief Reads one statement.
///
/// \code
/// const auto parsed = parse("drain target alexandria/lending/t1");
/// \endcode
/// \param text The statement, without a line break.
/// \return The statement, or the first place that can't be understood.
[[nodiscard]] std::variant<Statement, SyntaxError> parse(std::string_view text);

/// \return "column 7: expected a target name (tenant/service/target), found 'lending'".
[[nodiscard]] std::string toString(const SyntaxError &error);

/// \return The language on one page, with examples.
[[nodiscard]] std::string_view helpText() noexcept;

} // namespace baobabtrail::language
