#pragma once

#include <string_view>

namespace baobabtrail {

/// Objects that say at which addresses callers reach which services; written by the operator.
inline constexpr std::string_view RoutesPrefix = "routes/";
/// Objects by which targets register themselves, one each.
inline constexpr std::string_view TargetsPrefix = "targets/";
/// Objects by which the operator asks that a failure domain gets no new flows, one each, named by
/// the domain. It is evacuated as long as the object is there, whatever that holds.
inline constexpr std::string_view EvacuationsPrefix = "evacuations/";

} // namespace baobabtrail
