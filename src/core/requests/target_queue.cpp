#include "core/requests/target_queue.h"

#include <algorithm>

namespace baobabtrail {

void TargetQueue::configure(std::size_t capacity, const std::string &workspace,
                            std::uint32_t weight)
{
    m_queue.setCapacity(capacity);
    m_queue.setWorkspaceWeight(workspace, weight);
}

std::optional<QueueRefusal> TargetQueue::admit(QueueEntry entry, TimePoint now, Random &random,
                                               std::optional<QueueEntry> &displaced)
{
    entry.ready = false;
    return m_queue.push(entry, now, random, displaced);
}

void TargetQueue::addMoved(const QueueEntry &entry, bool ready)
{
    m_moved.push_back({entry.request, entry.requestClass, ready});
}

void TargetQueue::setReady(const RequestId &request)
{
    if (m_queue.setReady(request))
        return;
    for (MovedRequest &moved : m_moved) {
        if (moved.request == request)
            moved.ready = true;
    }
}

std::optional<RequestId> TargetQueue::pop(TimePoint now, std::vector<QueueEntry> &expired)
{
    if (const std::optional<RequestId> moved = popMoved())
        return moved;
    const std::optional<QueueEntry> entry = m_queue.pop(now, expired);
    return entry ? std::optional{entry->request} : std::nullopt;
}

std::optional<RequestId> TargetQueue::popMoved()
{
    auto best = m_moved.end();
    for (auto it = m_moved.begin(); it != m_moved.end(); ++it) {
        if (!it->ready)
            continue;
        if (best == m_moved.end() || it->requestClass < best->requestClass)
            best = it;
    }
    if (best == m_moved.end())
        return std::nullopt;
    const RequestId request = best->request;
    m_moved.erase(best);
    return request;
}

void TargetQueue::remove(const RequestId &request)
{
    const auto isIt = [&](const MovedRequest &moved) { return moved.request == request; };
    if (std::erase_if(m_moved, isIt) == 0)
        m_queue.remove(request);
}

} // namespace baobabtrail
