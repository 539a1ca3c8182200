#pragma once

#include "language/statement.h"

#include <string_view>
#include <variant>

namespace baobabtrail::language {

/// \brief Parses one statement of the operators' language.
///
/// \code
/// const auto parsed = parse("drain target alexandria/lending/t1");
/// \endcode
/// \param text The statement, without a line break.
/// \return The statement, or the first syntax error.
[[nodiscard]] std::variant<Statement, SyntaxError> parse(std::string_view text);

/// \return The error as text, such as
/// "column 7: expected a target name (tenant/service/target), found 'lending'".
[[nodiscard]] std::string toString(const SyntaxError &error);

/// \return A one-page reference of the language, with examples.
[[nodiscard]] std::string_view helpText() noexcept;

} // namespace baobabtrail::language
