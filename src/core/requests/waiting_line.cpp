#include "core/requests/waiting_line.h"

#include <algorithm>

namespace baobabtrail {

void WaitingLine::configure(std::size_t capacity, const std::string &workspace,
                            std::uint32_t weight)
{
    m_queue.setCapacity(capacity);
    m_queue.setWorkspaceWeight(workspace, weight);
}

std::optional<QueueRefusal> WaitingLine::admit(QueueEntry entry, TimePoint now, Random &random,
                                               std::optional<QueueEntry> &displaced)
{
    entry.ready = false;
    return m_queue.push(entry, now, random, displaced);
}

void WaitingLine::adopt(const QueueEntry &entry, bool ready)
{
    m_adopted.push_back({entry.request, entry.requestClass, ready});
}

void WaitingLine::ready(const RequestId &request)
{
    if (m_queue.setReady(request))
        return;
    for (Adopted &adopted : m_adopted) {
        if (adopted.request == request)
            adopted.ready = true;
    }
}

std::optional<RequestId> WaitingLine::next(TimePoint now, std::vector<QueueEntry> &expired)
{
    if (const std::optional<RequestId> adopted = takeAdopted())
        return adopted;
    const std::optional<QueueEntry> entry = m_queue.pop(now, expired);
    return entry ? std::optional{entry->request} : std::nullopt;
}

std::optional<RequestId> WaitingLine::takeAdopted()
{
    auto best = m_adopted.end();
    for (auto it = m_adopted.begin(); it != m_adopted.end(); ++it) {
        if (!it->ready)
            continue;
        if (best == m_adopted.end() || it->requestClass < best->requestClass)
            best = it;
    }
    if (best == m_adopted.end())
        return std::nullopt;
    const RequestId request = best->request;
    m_adopted.erase(best);
    return request;
}

void WaitingLine::remove(const RequestId &request)
{
    const auto isIt = [&](const Adopted &adopted) { return adopted.request == request; };
    if (std::erase_if(m_adopted, isIt) == 0)
        m_queue.remove(request);
}

} // namespace baobabtrail
