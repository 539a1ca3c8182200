#pragma once

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief An error in a settings file and its location.
struct Finding
{
    std::string place; ///< Key path such as "control.pingPeriod", or "line 3, column 7".
    std::string text;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

} // namespace baobabtrail::daemon
