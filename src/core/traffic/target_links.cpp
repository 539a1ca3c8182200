#include "core/traffic/target_links.h"

#include <iterator>
#include <utility>

namespace baobabtrail {

namespace {

constexpr Duration HelloPeriod = 2s;
/// A connection with this many unanswered hellos counts as broken.
constexpr std::uint32_t MaxUnansweredHellos = 3;

struct WantedLink
{
    ServiceId service;
    const TargetConfig *target;
};

/// \return The configured targets, without those that were cut.
[[nodiscard]] std::map<TargetId, WantedLink> connectable(const Config &config)
{
    std::map<TargetId, WantedLink> targets;
    for (const auto &[serviceId, service] : config.services) {
        for (const auto &[id, target] : service.targets) {
            if (target.state != TargetState::Cut)
                targets[id] = {serviceId, &target};
        }
    }
    return targets;
}

} // namespace

std::vector<TargetId> TargetLinks::reconcile(const std::function<bool(TargetId)> &inUse, Turn &turn)
{
    const std::map<TargetId, WantedLink> known = connectable(*m_context.config);
    std::vector<TargetId> broken;
    m_unownedLinks = 0;
    for (auto it = m_links.begin(); it != m_links.end();) {
        const TargetId target = it->first;
        Link &link = it->second;
        const auto found = known.find(target);
        const bool replaced
            = found != known.end() && found->second.target->generation != link.generation;
        const bool gone = found == known.end() || replaced;
        const bool wasUnowned
            = std::exchange(link.unowned, gone || !m_context.targets.owns(target));
        if (wasUnowned && !link.unowned && link.open)
            sendHello(target, link, turn); // The table dropped its state with the ownership.
        // A cut, or a new generation under the same name, closes the connection at once: the
        // address may belong to another service now. Otherwise work in progress is finished first.
        const bool cut = m_context.config->target(link.service, target) && gone;
        if (!cut && (!link.unowned || inUse(target))) {
            m_unownedLinks += link.unowned ? 1 : 0;
            ++it;
            continue;
        }
        if (cut)
            broken.push_back(target);
        m_context.targets.linkLost(target, turn.now);
        turn.add(CloseLink{target, link.generation});
        it = m_links.erase(it);
    }
    for (const TargetId target : m_context.targets.owned()) {
        const auto found = known.find(target);
        if (found == known.end() || m_links.contains(target))
            continue;
        const TargetConfig &config = *found->second.target;
        Link &link = m_links[target];
        link.service = found->second.service;
        link.generation = config.generation;
        link.address = config.requests;
        connect(target, link, turn);
    }
    schedule();
    return broken;
}

void TargetLinks::closeIdle(const std::function<bool(TargetId)> &inUse, Turn &turn)
{
    if (m_unownedLinks == 0)
        return;
    m_unownedLinks = 0;
    for (auto it = m_links.begin(); it != m_links.end();) {
        const bool kept = !it->second.unowned || inUse(it->first);
        m_unownedLinks += kept && it->second.unowned ? 1 : 0;
        if (!kept)
            turn.add(CloseLink{it->first, it->second.generation});
        it = kept ? std::next(it) : m_links.erase(it);
    }
    schedule();
}

void TargetLinks::connect(TargetId target, Link &link, Turn &turn)
{
    link.open = false;
    link.verified = false;
    link.unansweredHellos = 0;
    link.retryAt.reset();
    turn.add(OpenLink{target, link.generation, link.address});
}

void TargetLinks::opened(TargetId target, Generation generation, Turn &turn)
{
    if (!isCurrent(target, generation))
        return;
    Link &link = m_links.at(target);
    link.open = true;
    sendHello(target, link, turn);
    schedule();
}

void TargetLinks::sendHello(TargetId target, Link &link, Turn &turn)
{
    turn.sendOnLink(target, link.generation, LinkHello{link.service, target, link.generation});
    ++link.unansweredHellos;
    link.helloAt = turn.now + HelloPeriod;
}

bool TargetLinks::helloReply(TargetId target, const LinkHelloReply &reply, Turn &turn)
{
    Link &link = m_links.at(target);
    link.unansweredHellos = 0;
    // The address may serve another service already, before the new configuration arrives. The
    // target's own reply decides; without it, the target gets no work.
    link.verified = reply.service == link.service;
    m_context.targets.linkVerified(target, reply.service, reply.load, turn.now);
    if (!link.verified)
        turn.observe(RejectObserved{RejectKind::WrongTarget, link.service});
    return link.verified;
}

bool TargetLinks::closed(TargetId target, Generation generation, Turn &turn)
{
    if (!isCurrent(target, generation))
        return false;
    markBroken(target, m_links.at(target), turn);
    schedule();
    return true;
}

void TargetLinks::markBroken(TargetId target, Link &link, Turn &turn)
{
    link.open = false;
    link.verified = false;
    m_context.targets.linkLost(target, turn.now);
    link.retryAt = turn.now + m_context.targets.linkRetryDelay(target, m_context.random);
}

std::vector<TargetId> TargetLinks::advance(Turn &turn)
{
    std::vector<TargetId> broken;
    if (!m_nextTimer || *m_nextTimer > turn.now)
        return broken;
    for (auto &[target, link] : m_links) {
        if (link.retryAt && *link.retryAt <= turn.now) {
            connect(target, link, turn);
            continue;
        }
        if (!link.open || link.helloAt > turn.now)
            continue;
        if (link.unansweredHellos < MaxUnansweredHellos) {
            sendHello(target, link, turn);
            continue;
        }
        turn.add(CloseLink{target, link.generation});
        markBroken(target, link, turn);
        broken.push_back(target);
    }
    schedule();
    return broken;
}

void TargetLinks::schedule() noexcept
{
    m_nextTimer.reset();
    for (const auto &[target, link] : m_links) {
        if (link.open)
            m_nextTimer = earlier(m_nextTimer, link.helloAt);
        m_nextTimer = earlier(m_nextTimer, link.retryAt);
    }
}

bool TargetLinks::isCurrent(TargetId target, Generation generation) const noexcept
{
    const auto found = m_links.find(target);
    return found != m_links.end() && found->second.generation == generation;
}

std::optional<Generation> TargetLinks::usableGeneration(TargetId target) const noexcept
{
    const auto found = m_links.find(target);
    if (found == m_links.end() || !found->second.verified)
        return std::nullopt;
    return found->second.generation;
}

} // namespace baobabtrail
