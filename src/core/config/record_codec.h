#pragma once

#include "core/config/change.h"
#include "core/config/finding.h"

#include <string>
#include <string_view>
#include <variant>

namespace baobabtrail {

/// Largest value that the platform accepts, in bytes.
inline constexpr std::size_t MaxObjectBytes = 1'000'000;

/// \brief Encodes a record as it is stored in the log: JSON with a checksum.
///
/// \code
/// const std::string text = encodeRecord(record);
/// const auto decoded = decodeRecord(text, "config/log/7");
/// if (const auto *finding = std::get_if<Finding>(&decoded)) { ... }
/// \endcode
[[nodiscard]] std::string encodeRecord(const ChangeRecord &record);

/// \brief Decodes a record from the log.
/// \param place Where the text was found; findings begin with it.
/// \return The record, or why it can't be decoded: it is damaged, or has a command of a kind that
/// this version doesn't know.
[[nodiscard]] std::variant<ChangeRecord, Finding> decodeRecord(std::string_view text,
                                                               const std::string &place);

/// \return The kind of \a command and the name of the object that it changes, such as
/// "add-target alexandria/lending/t3".
[[nodiscard]] std::string describe(const Command &command);

[[nodiscard]] std::string toString(const ServiceName &name);
[[nodiscard]] std::string toString(const TargetName &name);

} // namespace baobabtrail
