/// \file
/// \brief How a daemon learns from the others which targets are silent.

#include "core/direct/direct_node.h"

namespace baobabtrail {

void DirectNode::handle(const Endpoint &from, const EvidenceMessage &message, TimePoint receivedAt)
{
    if (!m_callbacks.sendEvidence)
        return;
    m_evidence.handle(from, message, receivedAt);
    startProbes();
}

EvidenceCallbacks DirectNode::evidenceCallbacks()
{
    EvidenceCallbacks callbacks;
    callbacks.now = m_callbacks.feed.now;
    callbacks.after = m_callbacks.feed.after;
    callbacks.send = m_callbacks.sendEvidence;
    callbacks.neighbours = [this] { return m_usage.neighbours(); };
    callbacks.firstReported
        = [this](TargetId target) { m_router.firstReported(target, m_callbacks.feed.now()); };
    callbacks.changed = [this](TargetId target) {
        m_router.setReported(target, m_evidence.isReportedSilent(target), m_callbacks.feed.now());
    };
    return callbacks;
}

void DirectNode::startEvidence()
{
    if (!m_callbacks.sendEvidence || !m_settings.evidence.enabled)
        return;
    m_router.setSignHandler(
        [this](TargetId target, TargetSign sign) { m_evidence.observed(target, sign); });
}

// The usage tells the number of all daemons; each failure domain with targets has about as many.
void DirectNode::refreshEvidence()
{
    if (!m_callbacks.sendEvidence || !m_settings.evidence.enabled)
        return;
    m_evidence.expire();
    const UsageView *view = m_usage.view();
    const std::size_t domains = m_router.targets().targetsByDomain().size();
    if (!view || domains == 0)
        return;
    const double daemons = static_cast<double>(view->daemons) / static_cast<double>(domains);
    m_router.setProbeShare({m_reporter, daemons});
}

} // namespace baobabtrail
