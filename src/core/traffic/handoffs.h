#pragma once

#include "core/traffic/node_context.h"

#include <functional>

namespace baobabtrail {

/// \brief Reply to an ask for a flow or a request.
using PlacementReply = decltype(HandoffReply::reply);

/// \brief How an ask is placed: the parts in which flows and requests differ.
struct PlacementCallbacks
{
    /// Chooses a target that is not among those that declined.
    std::function<std::optional<PlacementChoice>(const std::vector<LoadHint> &declined)> choose;
    /// Tries one of the own targets; returns whether it took the ask.
    std::function<bool(const Handoff &handoff, TargetId target)> offer;
};

/// \return An ask as it starts at the daemon that the caller reached.
[[nodiscard]] Handoff newHandoff(const NodeContext &context, const Endpoint &caller,
                                 std::variant<OpenFlow, Reserve> body);

/// \return The load of an own target that did not take an ask, as it is told to the next owner.
[[nodiscard]] LoadHint declinedLoad(const NodeContext &context, TargetId target, TimePoint now);

/// \brief Offers an ask to own targets, or hands it over to the owner of another one.
/// \param forwarded Whether handing it over is a forward, which is bounded.
/// \return Whether it found a place; if not, the caller has to be refused.
[[nodiscard]] bool placeOrForward(NodeContext &context, Turn &turn, Handoff &handoff,
                                  bool forwarded, const PlacementCallbacks &callbacks);

/// \brief Gives an ask back to the daemon that the caller reached, where this one knows no target
/// that may take it: a daemon that has joined a moment ago knows less than the one that asked it.
/// \return Whether it was given back; if not, the caller has to be refused.
[[nodiscard]] bool returnToEntry(NodeContext &context, Turn &turn, Handoff &handoff);

/// \brief Answers an ask, through the daemon that the caller reached.
void replyToHandoff(NodeContext &context, Turn &turn, const Handoff &handoff,
                    const PlacementReply &reply);

/// \brief Passes a reply on to its caller and takes in the loads that ride on it.
void relayReply(NodeContext &context, Turn &turn, const HandoffReply &reply);

} // namespace baobabtrail
