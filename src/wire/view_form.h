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

/// HTTP content coding of compressed bodies.
inline constexpr std::string_view ContentCoding = "zstd";

/// \return The compressed body, or nothing if it is too short to gain from it or compression fails.
[[nodiscard]] std::optional<std::string> compress(std::string_view body);
/// \return The decompressed body, or nothing if the input is not a valid compressed body.
[[nodiscard]] std::optional<std::string> decompress(std::string_view body);

} // namespace baobabtrail::wire
