#pragma once

#include "core/config/change.h"
#include "core/config/finding.h"

#include <string>
#include <string_view>
#include <variant>

namespace baobabtrail {

/// Largest value that the platform takes, in bytes.
inline constexpr std::size_t MaxObjectBytes = 1'000'000;

/// \brief Writes a record as JSON with a checksum, as it stands in the log.
///
/// \code
/// const std::string text = encodeRecord(record);
/// const auto decoded = decodeRecord(text, "config/log/7");
/// if (const auto *finding = std::get_if<Finding>(&decoded)) { ... }
/// \endcode
[[nodiscard]] std::string encodeRecord(const ChangeRecord &record);

/// \param place Where the text was found; findings begin with it.
/// \return The record, or why the text is none: damaged, or of a kind that this version lacks.
[[nodiscard]] std::variant<ChangeRecord, Finding> decodeRecord(std::string_view text,
                                                               const std::string &place);

/// \return The kind and the name of what \a command changes: "add-target alexandria/lending/t3".
[[nodiscard]] std::string describe(const Command &command);

[[nodiscard]] std::string toString(const ServiceName &name);
[[nodiscard]] std::string toString(const TargetName &name);

} // namespace baobabtrail
