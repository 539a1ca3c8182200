#pragma once

#include "core/ids.h"

#include <map>
#include <vector>

namespace baobabtrail {

/// \brief Queue of members whose updates still have to be spread, with the number of times each was
/// sent.
class RumorQueue
{
public:
    /// \brief Starts spreading the update of a member; restarts if it is already being spread.
    void add(DaemonId member) { m_sent[member] = 0; }

    /// \brief Picks the rumors that were sent the fewest times and counts them as sent.
    /// \param count Maximum number to pick.
    /// \param members Number of daemons that a rumor has to reach; each one is sent a number of
    /// times that grows with the logarithm of this.
    [[nodiscard]] std::vector<DaemonId> take(std::size_t count, std::size_t members);

    [[nodiscard]] std::size_t size() const noexcept { return m_sent.size(); }

private:
    std::map<DaemonId, std::uint32_t> m_sent;
};

} // namespace baobabtrail
