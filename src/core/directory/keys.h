#pragma once

#include <string_view>

namespace baobabtrail {

/// Objects that map addresses to services; written by the operator.
inline constexpr std::string_view RoutesPrefix = "routes/";
/// Registrations of targets, one object each.
inline constexpr std::string_view TargetsPrefix = "targets/";
/// Failure domains that get no new flows, one object each, named after the domain. A domain is
/// evacuated as long as its object exists, whatever its value.
inline constexpr std::string_view EvacuationsPrefix = "evacuations/";

} // namespace baobabtrail
