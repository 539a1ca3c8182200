#pragma once

#include "support/cluster.h"

#include <criterion/criterion.h>

namespace baobabtrail::test {

/// \brief Fails the test with all violations that the cluster found.
/// \param cell Name of the case, for the message.
inline void expectNoViolations(const Cluster &net, const std::string &cell)
{
    const std::string problems = net.problems();
    cr_expect(problems.empty(), "%s:%s", cell.c_str(), problems.c_str());
}

} // namespace baobabtrail::test
