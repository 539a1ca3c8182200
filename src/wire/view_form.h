#pragma once

/// \file
/// \brief Questions and answers between daemons about the directory, as JSON over HTTP.

#include "core/directory/peer_view.h"

#include <string>
#include <string_view>

namespace baobabtrail::wire {

/// Path at which a daemon answers questions, by POST.
inline constexpr std::string_view ViewPath = "/v1/view";

[[nodiscard]] std::string toJson(const PeerQuery &query);
[[nodiscard]] std::string toJson(const PeerAnswer &answer);

/// \return The question, or nothing where the text is none.
[[nodiscard]] std::optional<PeerQuery> parseQuery(std::string_view text);
/// \return The answer, or nothing where the text is none.
[[nodiscard]] std::optional<PeerAnswer> parseAnswer(std::string_view text);

/// Name of the coding of packed bodies, as HTTP has it.
inline constexpr std::string_view ContentCoding = "zstd";

/// \return The body packed, or nothing where it is too short to be worth it, or the codec fails.
[[nodiscard]] std::optional<std::string> compress(std::string_view body);
/// \return The body, or nothing where it is not a packed one.
[[nodiscard]] std::optional<std::string> decompress(std::string_view body);

} // namespace baobabtrail::wire
