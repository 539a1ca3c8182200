#pragma once

#include <string>
#include <vector>

namespace baobabtrail {

/// \brief One reason why something was rejected, and the place that it concerns.
struct Finding
{
    std::string place; ///< For example "command 2 (add-target alexandria/lending/t3)".
    std::string what;

    friend bool operator==(const Finding &, const Finding &) = default;
};
using Findings = std::vector<Finding>;

/// \return "place: what".
[[nodiscard]] inline std::string toString(const Finding &finding)
{
    return finding.place + ": " + finding.what;
}

/// \return One line for each finding.
[[nodiscard]] inline std::vector<std::string> toStrings(const Findings &findings)
{
    std::vector<std::string> lines;
    lines.reserve(findings.size());
    for (const Finding &finding : findings)
        lines.push_back(toString(finding));
    return lines;
}

} // namespace baobabtrail
