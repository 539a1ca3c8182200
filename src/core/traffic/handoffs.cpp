#include "core/traffic/handoffs.h"

namespace baobabtrail {

namespace {

/// Bound on the owned targets to which one flow or request is offered.
constexpr int MaxOwnedTargetOffers = 8;

void sendToCaller(Turn &turn, const Endpoint &caller, const PlacementReply &reply)
{
    struct Send
    {
        Turn &turn;
        const Endpoint &caller;
        void operator()(const AcceptFlow &m) const { turn.sendToCaller(caller, FlowMessage{m}); }
        void operator()(const RefuseFlow &m) const { turn.sendToCaller(caller, FlowMessage{m}); }
        void operator()(const Reserved &m) const { turn.sendToCaller(caller, RequestMessage{m}); }
        void operator()(const NotRun &m) const { turn.sendToCaller(caller, RequestMessage{m}); }
    };
    std::visit(Send{turn, caller}, reply);
}

} // namespace

Handoff newHandoff(const NodeContext &context, const Endpoint &caller,
                   std::variant<OpenFlow, Reserve> body)
{
    Handoff handoff;
    handoff.caller = caller;
    handoff.entry = context.identity.address;
    handoff.body = body;
    return handoff;
}

LoadHint declinedLoad(const NodeContext &context, TargetId target, TimePoint now)
{
    // A stopping daemon accepts nothing, however low the loads of its targets are.
    if (context.stopping)
        return {target, WorstLoad, WorstLoad};
    return context.targets.loadOf(target, now);
}

bool placeOrForward(NodeContext &context, Turn &turn, Handoff &handoff, bool forwarded,
                    const PlacementCallbacks &callbacks)
{
    for (int offers = 0; offers < MaxOwnedTargetOffers; ++offers) {
        const std::optional<PlacementChoice> choice = callbacks.choose(handoff.hints);
        if (!choice)
            return false;
        if (!choice->own) {
            // Owners with different views could forward a handoff in a loop; the hop count ends it.
            if (forwarded && handoff.hops >= context.settings.maxHops)
                return false;
            if (choice->owner.isNull() || choice->owner == context.identity.address)
                return false;
            handoff.hops += forwarded ? 1 : 0;
            handoff.target = choice->target;
            turn.sendToPeer(choice->owner, handoff);
            return true;
        }
        if (callbacks.offer(handoff, choice->target))
            return true;
        handoff.hints.push_back(declinedLoad(context, choice->target, turn.now));
    }
    return false;
}

bool returnToEntry(NodeContext &context, Turn &turn, Handoff &handoff)
{
    if (handoff.entry == context.identity.address || handoff.hops >= context.settings.maxHops)
        return false;
    ++handoff.hops;
    handoff.hints.push_back({handoff.target, WorstLoad, WorstLoad});
    turn.sendToPeer(handoff.entry, handoff);
    return true;
}

void replyToHandoff(NodeContext &context, Turn &turn, const Handoff &handoff,
                    const PlacementReply &reply)
{
    if (handoff.entry == context.identity.address) {
        sendToCaller(turn, handoff.caller, reply);
        return;
    }
    turn.sendToPeer(handoff.entry, HandoffReply{handoff.caller, handoff.hints, reply});
}

void relayReply(NodeContext &context, Turn &turn, const HandoffReply &reply)
{
    for (const LoadHint &hint : reply.hints)
        context.targets.applyHint(hint, turn.now);
    sendToCaller(turn, reply.caller, reply.reply);
}

} // namespace baobabtrail
