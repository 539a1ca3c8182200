#pragma once

#include "core/traffic/node_context.h"

#include <functional>

namespace baobabtrail {

/// \brief Reply to an OpenFlow or a Reserve.
using PlacementReply = decltype(HandoffReply::reply);

/// \brief The steps of a placement in which flows and requests differ.
struct PlacementCallbacks
{
    /// Chooses a target other than those that declined.
    std::function<std::optional<PlacementChoice>(const std::vector<LoadHint> &declined)> choose;
    /// Offers the flow or request to a target that this daemon owns; returns whether it was
    /// accepted.
    std::function<bool(const Handoff &handoff, TargetId target)> offer;
};

/// \return A new Handoff for a caller's message, with this daemon as the entry.
[[nodiscard]] Handoff newHandoff(const NodeContext &context, const Endpoint &caller,
                                 std::variant<OpenFlow, Reserve> body);

/// \return The load of an owned target that declined, for the hints that the next owner gets.
[[nodiscard]] LoadHint declinedLoad(const NodeContext &context, TargetId target, TimePoint now);

/// \brief Offers a flow or request to targets that this daemon owns, or forwards it to the owner of
/// another target.
/// \param forwarded Whether it came from another daemon: passing it on then counts as a hop, and
/// hops are bounded.
/// \return Whether it was placed or forwarded; if not, the caller has to be refused.
[[nodiscard]] bool placeOrForward(NodeContext &context, Turn &turn, Handoff &handoff,
                                  bool forwarded, const PlacementCallbacks &callbacks);

/// \brief Returns a flow or request to its entry, the daemon that the caller reached, where this
/// daemon knows no target for it: after a recent join it knows less than the entry.
/// \return Whether it was returned; if not, the caller has to be refused.
[[nodiscard]] bool returnToEntry(NodeContext &context, Turn &turn, Handoff &handoff);

/// \brief Sends the reply to the caller, through the daemon that the caller reached.
void replyToHandoff(NodeContext &context, Turn &turn, const Handoff &handoff,
                    const PlacementReply &reply);

/// \brief Relays another daemon's reply to the caller, and applies its load hints.
void relayReply(NodeContext &context, Turn &turn, const HandoffReply &reply);

} // namespace baobabtrail
