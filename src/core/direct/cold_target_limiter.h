#pragma once

#include "core/directory/directory.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace baobabtrail {

/// \brief Bounds what all daemons together open at a cold target in any span of a second.
///
/// Hundreds of daemons that each kept to a share of the rate would still exceed it in some second:
/// one flow each is enough. So only a few open flows at cold targets at all: the roots, whom every
/// daemon knows from its settings. Each of them keeps to a fixed part of the rate, whoever else is
/// alive; the others use the targets that are warm.
class ColdTargetLimiter
{
public:
    /// \param owners Daemons that share the rate. \param isOwner Whether this is one of them.
    void setOwners(std::size_t owners, bool isOwner, TimePoint now);
    /// \return Whether this daemon may open a flow at the cold target now.
    [[nodiscard]] bool admits(TargetId target, const ColdLimit &limit, TimePoint now) const;
    /// \brief This daemon has opened a flow there.
    void placed(TargetId target, TimePoint now);
    /// \brief Forgets what is older than a second; to be called about once a second.
    void expire(TimePoint now);

private:
    std::size_t m_owners = 0;
    bool m_isOwner = false;
    TimePoint m_ownerSince{};
    std::unordered_map<TargetId, std::deque<TimePoint>> m_placed; ///< Within the last second.
};

} // namespace baobabtrail
