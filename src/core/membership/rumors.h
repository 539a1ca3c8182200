#pragma once

#include "core/ids.h"

#include <map>
#include <vector>

namespace baobabtrail {

/// \brief Members whose news still has to be spread, and how often each was sent.
class RumorQueue
{
public:
    /// \brief Begins to spread the news of a member, anew where it is spread already.
    void add(DaemonId member) { m_sent[member] = 0; }

    /// \brief Picks those that were sent least.
    /// \param count Most to pick. \param members How many daemons have to hear of it; each rumor
    /// is sent a number of times that grows with the logarithm of this.
    [[nodiscard]] std::vector<DaemonId> take(std::size_t count, std::size_t members);

    [[nodiscard]] std::size_t size() const noexcept { return m_sent.size(); }

private:
    std::map<DaemonId, std::uint32_t> m_sent;
};

} // namespace baobabtrail
