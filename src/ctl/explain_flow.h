#pragma once

#include <iosfwd>
#include <string_view>

namespace baobabtrail::ctl {

/// \brief Prints the events of one flow, in order of time, from the logs of all daemons.
///
/// Prints the lines that name the flow. For the time from two seconds before the first of them to
/// two seconds after the last, it adds the context: state changes of the flow's targets, and
/// starts, stops and lost or regained dependencies of the daemons that logged the flow.
/// The last line names the cause, as far as the log shows it.
///
/// \param log JSON lines as written by the daemons. The last word before a line's first brace is
/// taken as the name of its daemon. Lines without a brace are ignored; lines that are not valid
/// JSON events are skipped and counted.
/// \param flow Such as "100.64.0.7:40001>198.18.0.1:443"; the caller's end alone is enough.
/// \return Whether any line names the flow.
[[nodiscard]] bool explainFlow(std::istream &log, std::string_view flow, std::ostream &out);

} // namespace baobabtrail::ctl
