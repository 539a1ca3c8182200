#pragma once

#include <string>
#include <vector>

namespace baobabtrail::daemon {

/// \brief Something that is wrong with a settings file, and where.
struct Finding
{
    std::string place; ///< Key path as "control.pingPeriod", or "line 3, column 7".
    std::string text;

    friend bool operator==(const Finding &, const Finding &) = default;
};

using Findings = std::vector<Finding>;

} // namespace baobabtrail::daemon
