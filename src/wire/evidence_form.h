#pragma once

/// \file
/// \brief Format of the reports about targets that daemons send each other, several in a datagram.

#include "core/evidence/evidence.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// Largest message, in bytes: fits in a datagram on every link without fragments.
inline constexpr std::size_t MaxEvidenceBytes = 1200;

[[nodiscard]] std::string encodeEvidence(const EvidenceMessage &message);
/// \return The message; nothing if the bytes are not a valid one or hold no report.
[[nodiscard]] std::optional<EvidenceMessage> decodeEvidence(std::string_view bytes);

} // namespace baobabtrail::wire
