/// \file
/// \brief How a daemon exchanges its usage with the others.

#include "core/direct/direct_node.h"

#include <map>
#include <utility>

namespace baobabtrail {

namespace {

/// \return Whether the log should say so: a part of the tree that comes and goes is worth no line.
[[nodiscard]] bool differs(const UsageContact &now, const UsageContact &before) noexcept
{
    if (now.known != before.known)
        return true;
    return now.known && (now.daemons >= 2 * before.daemons || 2 * now.daemons <= before.daemons);
}

} // namespace

UsageTable DirectNode::takeUsage()
{
    return m_router.takeUsage(m_callbacks.feed.now());
}

void DirectNode::applyUsage(const UsageView *view)
{
    m_router.applyUsage(view, m_callbacks.feed.now());
}

void DirectNode::handle(const Endpoint &from, const UsageMessage &report, TimePoint receivedAt)
{
    if (m_callbacks.sendUsage)
        m_usage.handle(from, report, receivedAt);
}

UsageExchangeCallbacks DirectNode::usageCallbacks()
{
    UsageExchangeCallbacks callbacks;
    callbacks.now = m_callbacks.feed.now;
    callbacks.after = m_callbacks.feed.after;
    callbacks.send = m_callbacks.sendUsage;
    callbacks.take = [this] { return takeUsage(); };
    callbacks.isBusy = [this](const UsageTable &usage) { return isBusy(usage); };
    callbacks.changed = [this](const UsageView *view) { onUsageChanged(view); };
    return callbacks;
}

bool DirectNode::isBusy(const UsageTable &usage)
{
    std::map<ServiceId, std::map<std::string, double>> work;
    for (const auto &[key, part] : usage)
        work[key.service][key.targets] += part.inFlight();
    for (const auto &[service, domains] : work) {
        const auto [cached, isNew] = m_slots.try_emplace(service);
        std::map<std::string, DomainCapacity> &slots = cached->second;
        if (isNew)
            slots = m_router.targets().capacityOf(service, m_callbacks.feed.now());
        for (const auto &[domain, inFlight] : domains) {
            const auto found = slots.find(domain);
            // Without slots there is nothing that more frequent reports could help to share.
            if (found != slots.end() && inFlight >= m_settings.usage.busyAt * found->second.slots)
                return true;
        }
    }
    return false;
}

Endpoint DirectNode::usageAddressOf(const Endpoint &peer) const
{
    return m_callbacks.usageAddressOf ? m_callbacks.usageAddressOf(peer) : peer;
}

void DirectNode::updateUsageRoute()
{
    if (!m_callbacks.sendUsage)
        return;
    UsageRoute route;
    route.isRoot = m_isRoot;
    if (!m_isRoot && m_peers.state() != PeerState::Lost)
        route.source = usageAddressOf(m_peers.source());
    for (const Endpoint &root : m_roots) {
        if (root != m_identity.address)
            route.roots.push_back(usageAddressOf(root));
    }
    m_usage.setRoute(std::move(route));
}

void DirectNode::refreshUsage()
{
    if (!m_callbacks.sendUsage)
        return;
    m_slots.clear();
    updateUsageRoute();
    applyUsage(m_usage.view());
}

void DirectNode::onUsageChanged(const UsageView *view)
{
    if (view) {
        m_lastUsage.daemons = view->daemons;
        m_usageMeasuredAt = view->measuredAt;
    }
    m_lastUsage.known = view != nullptr;
    m_lastUsage.age = m_callbacks.feed.now() - m_usageMeasuredAt;
    if (differs(m_lastUsage, m_usageContact)) {
        m_usageContact = m_lastUsage;
        notice(m_usageContact);
    }
    applyUsage(view);
}

} // namespace baobabtrail
