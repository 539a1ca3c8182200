#include "core/traffic/node_context.h"

#include <map>
#include <string>
#include <utility>

namespace baobabtrail {

namespace {

/// Bound on the former members of the view that are retained.
constexpr std::size_t MaxDeparted = 256;

} // namespace

NodeContext::NodeContext(NodeIdentity ownIdentity, TrafficSettings ownSettings,
                         std::shared_ptr<const KeyRing> sharedKeys, std::uint64_t seed)
    : identity(std::move(ownIdentity))
    , settings(ownSettings)
    , keys(std::move(sharedKeys))
    , random(seed)
    , config(std::make_shared<Config>())
    , view(std::make_shared<View>())
{
}

void NodeContext::setConfig(ConfigPtr newest)
{
    config = std::move(newest);
    targetIndex.clear();
    std::map<std::string, std::uint64_t> weights;
    for (const auto &[id, service] : config->services) {
        std::uint64_t &weight = weights[service.workspace];
        weight = std::max<std::uint64_t>(weight, service.limits.workspaceShare);
        for (const auto &[target, targetConfig] : service.targets)
            targetIndex[target] = &targetConfig;
    }
    workspaceWeights = 0;
    for (const auto &[workspace, weight] : weights)
        workspaceWeights += weight;
}

void NodeContext::setView(ViewPtr newest)
{
    for (const Member &member : view->members) {
        if (newest->find(member.id))
            continue;
        if (departed.size() >= MaxDeparted)
            departed.erase(departed.begin());
        departed[member.id] = member.incarnation;
    }
    view = std::move(newest);
    for (const Member &member : view->members)
        departed.erase(member.id);
}

bool NodeContext::isGone(DaemonId daemon, Incarnation incarnation) const noexcept
{
    if (const Member *member = view->find(daemon))
        return member->incarnation > incarnation
               || (member->incarnation == incarnation && member->state == MemberState::Dead);
    // A daemon that was never in the view may have joined just now.
    const auto found = departed.find(daemon);
    return found != departed.end() && found->second >= incarnation;
}

void Turn::sendToCaller(const Endpoint &caller, FlowMessage message)
{
    add(SendToCaller{caller, CallerMessage{std::move(message)}});
}

void Turn::sendToCaller(const Endpoint &caller, RequestMessage message)
{
    add(SendToCaller{caller, CallerMessage{std::move(message)}});
}

void Turn::sendToPeer(const Endpoint &peer, PeerMessage message)
{
    add(SendToPeer{peer, std::move(message)});
}

void Turn::sendOnLink(TargetId target, Generation generation, LinkMessage message)
{
    add(SendOnLink{target, generation, std::move(message)});
}

void Turn::observe(const Observation &observation)
{
    out.emplace_back(std::in_place_type<Observation>, observation);
}

} // namespace baobabtrail
