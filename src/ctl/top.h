#pragma once

#include "ctl/session.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace baobabtrail::ctl {

/// \brief The lines of a metrics page that a glance at a daemon needs, shortened.
/// \param page Text in Prometheus' exposition format.
/// \return One "name{labels} value" for each, without the common prefix.
[[nodiscard]] std::vector<std::string> selectMetrics(std::string_view page);

/// \brief One screen: gauges and totals, what is leaving, the targets with most requests first.
/// \param execute Sends a statement to a daemon.
/// \return The text, or nothing where no daemon answered.
[[nodiscard]] std::optional<std::string> topScreen(const Session::Execute &execute);

} // namespace baobabtrail::ctl
