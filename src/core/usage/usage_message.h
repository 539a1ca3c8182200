#pragma once

#include "core/usage/usage.h"

#include <cstdint>

namespace baobabtrail {

/// \brief Whose usage a message holds.
enum class UsageScope {
    Subtree, ///< Of the sender and all daemons below it in the tree.
    Total,   ///< Of all daemons, as known to the sender.
};

/// \brief A datagram by which daemons tell each other how much work they have at the targets.
///
/// A message replaces the earlier ones of its sender. It may be lost, come twice or late.
struct UsageMessage
{
    UsageScope scope = UsageScope::Subtree;
    /// Chosen at random at each start of the sender: with a new one the sequence begins anew.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Counts the messages of the sender.
    /// Subtree: number of daemons on the longest way from the sender down to a daemon without
    /// followers. Total: number of daemons that it has passed, the first sender included.
    std::uint32_t height = 1;
    std::uint32_t daemons = 1; ///< Daemons whose usage is part of it.
    Duration age{0};           ///< Time since the oldest part of it was measured.
    Duration interval{0};      ///< Until the sender's next message.
    /// Whether reports should come at the busy interval: by the sender's subtree, or by the total.
    bool busy = false;
    UsageTable usage;
};

} // namespace baobabtrail
