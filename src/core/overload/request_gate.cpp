#include "core/overload/request_gate.h"

namespace baobabtrail {

RequestGate::Entry *RequestGate::find(TargetId target)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::optional<HeldRequest> RequestGate::countTaken(std::optional<HeldRequest> taken)
{
    m_held -= taken ? 1 : 0;
    return taken;
}

bool RequestGate::tryHold(TargetId target, const HeldRequest &request)
{
    if (!m_settings.hold || request.promise.latency <= Duration{0})
        return false;
    Entry *entry = find(target);
    if (!entry || entry->window.hasRoom(request.heldAt))
        return false;
    if (entry->waiting.size() >= m_settings.maxHeldPerTarget)
        return false;
    entry->waiting.add(request);
    ++m_held;
    return true;
}

void RequestGate::sent(TargetId target, TimePoint now)
{
    if (!m_settings.hold)
        return;
    const auto [found, isNew] = m_targets.try_emplace(target, m_settings);
    found->second.window.sent(now);
}

void RequestGate::answered(TargetId target, Duration took, Duration promised, TimePoint now)
{
    if (Entry *entry = find(target))
        entry->window.answered(took, promised, now);
}

void RequestGate::ended(TargetId target, TimePoint sentAt)
{
    if (Entry *entry = find(target))
        entry->window.ended(sentAt);
}

std::optional<HeldRequest> RequestGate::takeNext(TargetId target, TimePoint now)
{
    Entry *entry = find(target);
    if (!entry || !entry->window.hasRoom(now))
        return std::nullopt;
    const bool allowLate = entry->window.hasRoomForLate();
    return countTaken(entry->waiting.takeNext(entry->window.meanAnswerTime(), allowLate, now));
}

std::optional<HeldRequest> RequestGate::takePastDeadline(TargetId target, TimePoint now)
{
    Entry *entry = find(target);
    return entry ? countTaken(entry->waiting.takePastDeadline(entry->window.meanAnswerTime(), now))
                 : std::nullopt;
}

std::optional<HeldRequest> RequestGate::takeAny(TargetId target, TimePoint now)
{
    Entry *entry = find(target);
    return entry ? countTaken(entry->waiting.takeNext(Duration{0}, true, now)) : std::nullopt;
}

bool RequestGate::erase(TargetId target, const FlowKey &flow)
{
    Entry *entry = find(target);
    const bool waited = entry && entry->waiting.remove(flow);
    m_held -= waited ? 1 : 0;
    return waited;
}

void RequestGate::erase(TargetId target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    m_held -= found->second.waiting.size();
    m_targets.erase(found);
}

void RequestGate::retainOnly(const std::function<bool(TargetId)> &isKnown)
{
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        if (isKnown(it->first)) {
            ++it;
            continue;
        }
        m_held -= it->second.waiting.size();
        it = m_targets.erase(it);
    }
}

const TargetWindow *RequestGate::window(TargetId target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second.window;
}

std::size_t RequestGate::heldFor(TargetId target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.waiting.size();
}

std::vector<TargetId> RequestGate::targetsWithHeldRequests() const
{
    std::vector<TargetId> out;
    for (const auto &[target, entry] : m_targets) {
        if (entry.waiting.size() > 0)
            out.push_back(target);
    }
    return out;
}

} // namespace baobabtrail
