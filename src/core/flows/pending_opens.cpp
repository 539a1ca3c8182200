#include "core/flows/pending_opens.h"

#include <utility>

namespace baobabtrail {

const PendingOpen *PendingOpens::find(FlowId flow) const noexcept
{
    const auto found = m_opens.find(flow);
    return found == m_opens.end() ? nullptr : &found->second;
}

void PendingOpens::add(FlowId flow, Handoff ask, const FlowToken &token, TimePoint now)
{
    const TimePoint until = now + m_timeout;
    const auto [place, isNew] = m_opens.try_emplace(flow);
    if (!isNew)
        --m_perTarget[place->second.token.target];
    place->second = PendingOpen{std::move(ask), token, until};
    ++m_perTarget[token.target];
    m_expiries.push_back({until, flow});
}

std::optional<PendingOpen> PendingOpens::take(FlowId flow, const FlowToken &token)
{
    const auto found = m_opens.find(flow);
    if (found == m_opens.end() || found->second.token != token)
        return std::nullopt;
    --m_perTarget[token.target];
    PendingOpen open = std::move(found->second);
    m_opens.erase(found);
    return open;
}

std::optional<PendingOpen> PendingOpens::takeExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        const Expiry expiry = m_expiries.front();
        m_expiries.pop_front();
        const auto found = m_opens.find(expiry.flow);
        // The open was answered meanwhile, or sent again and expires later.
        if (found == m_opens.end() || found->second.until != expiry.at)
            continue;
        return take(expiry.flow, FlowToken{found->second.token});
    }
    return std::nullopt;
}

std::optional<TimePoint> PendingOpens::nextTimer() const noexcept
{
    if (m_opens.empty())
        return std::nullopt;
    return m_expiries.front().at;
}

bool PendingOpens::hasPendingOpen(TargetId target) const noexcept
{
    const auto found = m_perTarget.find(target);
    return found != m_perTarget.end() && found->second > 0;
}

} // namespace baobabtrail
