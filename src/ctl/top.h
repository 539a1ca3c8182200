#pragma once

#include "ctl/session.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::ctl {

/// \brief Selects the key metrics of a daemon from its metrics page.
/// \param page Text in Prometheus' exposition format.
/// \return One "name{labels} value" for each, without the prefix "baobabtrail_".
[[nodiscard]] std::vector<std::string> selectMetrics(std::string_view page);

/// \brief Renders one screen of "top": key metrics, leaving targets, and the 20 targets with the
/// most running requests.
/// \param execute Sends a statement to a daemon.
/// \return The screen, or std::nullopt where a query failed.
[[nodiscard]] std::optional<std::string> topScreen(const Session::Execute &execute);

} // namespace baobabtrail::ctl
