#pragma once

#include "core/directory/directory.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace baobabtrail {

/// \brief Limits the rate at which all daemons together open flows at a cold target, over any
/// window of one second.
///
/// If hundreds of daemons each had a share of the rate, one flow from each would already exceed it
/// within a second. Therefore only a few daemons, the owners of the rate, open flows at cold
/// targets: the roots, which every daemon knows from its settings. Each owner has a fixed part of
/// the rate, whichever other owners are alive; all other daemons use warm targets only.
class ColdTargetLimiter
{
public:
    /// \param owners Number of daemons that share the rate.
    /// \param isOwner Whether this daemon is one of them.
    void setOwners(std::size_t owners, bool isOwner, TimePoint now);
    /// \return Whether this daemon may open a flow at the cold target now.
    [[nodiscard]] bool admits(TargetId target, const WarmUpLimit &limit, TimePoint now) const;
    /// \brief Counts a flow that this daemon has opened at the cold target.
    void placed(TargetId target, TimePoint now);
    /// \brief Erases counts older than a second; to be called about once a second.
    void expire(TimePoint now);

private:
    std::size_t m_owners = 0;
    bool m_isOwner = false;
    TimePoint m_ownerSince{};
    std::unordered_map<TargetId, std::deque<TimePoint>> m_placed; ///< Within the last second.
};

} // namespace baobabtrail
