#pragma once

/// \file
/// \brief JSON format of the directory queries and answers that daemons exchange over HTTP.

#include "core/directory/peer_view.h"

#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// HTTP path for queries, sent with POST.
inline constexpr std::string_view ViewPath = "/v1/view";

[[nodiscard]] std::string toJson(const PeerQuery &query);
[[nodiscard]] std::string toJson(const PeerAnswer &answer);

/// \return The query, or nothing if the text is not a valid one.
[[nodiscard]] std::optional<PeerQuery> parseQuery(std::string_view text);
/// \return The answer, or nothing if the text is not a valid one.
[[nodiscard]] std::optional<PeerAnswer> parseAnswer(std::string_view text);

/// \brief Encodes and compresses an answer, of which a WholeCopy is packed only once.
/// \return Nothing where it is too short to gain from it, or there is no memory for it.
[[nodiscard]] std::optional<std::string> pack(const PeerAnswer &answer);
/// \return The answer, or nothing if the bytes are not a valid packed one.
[[nodiscard]] std::optional<PeerAnswer> parsePackedAnswer(std::string_view bytes);

/// HTTP content coding of compressed bodies.
inline constexpr std::string_view ContentCoding = "zstd";

} // namespace baobabtrail::wire
