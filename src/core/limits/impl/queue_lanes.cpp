#include "core/limits/impl/queue_lanes.h"

#include <algorithm>

namespace baobabtrail::impl {

namespace {

constexpr double DefaultWeight = 100;

[[nodiscard]] std::size_t laneOf(RequestClass requestClass) noexcept
{
    return std::min<std::size_t>(static_cast<std::size_t>(requestClass), RequestClassCount - 1);
}

} // namespace

QueueLanes::Workspace &QueueLanes::workspaceOf(const std::string &name)
{
    return m_workspaces[name];
}

void QueueLanes::setWeight(const std::string &workspace, std::uint32_t weight)
{
    workspaceOf(workspace).weight = std::max(weight, 1U);
}

QueueLanes::Entries &QueueLanes::entriesOf(const Place &place) noexcept
{
    return place.ready ? place.workspace->ready[place.lane] : place.workspace->reserved[place.lane];
}

void QueueLanes::add(const QueueEntry &entry)
{
    if (m_byRequest.contains(entry.request))
        return;
    Workspace &workspace = workspaceOf(entry.workspace);
    // A workspace that was idle continues at the current virtual time: it gets no credit for the
    // time that it did not use, or it would now run alone.
    if (workspace.held == 0)
        workspace.virtualTime = std::max(workspace.virtualTime, m_virtualTime);
    const Place place{&workspace, laneOf(entry.requestClass), m_next++, entry.ready};
    entriesOf(place).emplace(place.sequence, entry);
    m_byRequest.emplace(entry.request, place);
    m_byDeadline.emplace(entry.deadline, entry.request);
    ++workspace.held;
    ++m_perClass[place.lane];
}

bool QueueLanes::setReady(const RequestId &request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return false;
    Place &place = found->second;
    if (place.ready)
        return true;
    auto node = entriesOf(place).extract(place.sequence);
    place.ready = true;
    node.mapped().ready = true;
    entriesOf(place).insert(std::move(node));
    return true;
}

QueueEntry QueueLanes::take(const RequestId &request)
{
    const auto found = m_byRequest.find(request);
    const Place place = found->second;
    auto node = entriesOf(place).extract(place.sequence);
    m_byRequest.erase(found);
    m_byDeadline.erase({node.mapped().deadline, request});
    --place.workspace->held;
    --m_perClass[place.lane];
    return std::move(node.mapped());
}

bool QueueLanes::remove(const RequestId &request)
{
    if (!m_byRequest.contains(request))
        return false;
    (void)take(request);
    return true;
}

std::optional<QueueEntry> QueueLanes::takeNext()
{
    for (std::size_t lane = 0; lane < RequestClassCount; ++lane) {
        if (m_perClass[lane] == 0)
            continue;
        Workspace *next = nullptr;
        for (auto &[name, workspace] : m_workspaces) {
            if (workspace.ready[lane].empty())
                continue;
            if (!next || workspace.virtualTime < next->virtualTime)
                next = &workspace;
        }
        if (!next)
            continue;
        m_virtualTime = std::max(m_virtualTime, next->virtualTime);
        next->virtualTime += DefaultWeight / next->weight;
        return take(next->ready[lane].begin()->second.request);
    }
    return std::nullopt;
}

void QueueLanes::takeExpired(TimePoint now, std::vector<QueueEntry> &expired)
{
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now)
        expired.push_back(take(RequestId{m_byDeadline.begin()->second}));
}

std::optional<QueueEntry> QueueLanes::takeNewest(std::size_t lane, Workspace *only)
{
    const QueueEntry *newest = nullptr;
    Sequence newestSequence = 0;
    for (auto &[name, workspace] : m_workspaces) {
        if (only && only != &workspace)
            continue;
        for (const Entries *entries : {&workspace.ready[lane], &workspace.reserved[lane]}) {
            if (entries->empty())
                continue;
            const auto &[sequence, entry] = *entries->rbegin();
            if (newest && sequence <= newestSequence)
                continue;
            newest = &entry;
            newestSequence = sequence;
        }
    }
    if (!newest)
        return std::nullopt;
    return take(RequestId{newest->request});
}

std::optional<QueueEntry> QueueLanes::evictNewestOfLowerClass(RequestClass than)
{
    for (std::size_t lane = RequestClassCount - 1; lane > laneOf(than); --lane) {
        if (m_perClass[lane] > 0)
            return takeNewest(lane, nullptr);
    }
    return std::nullopt;
}

double QueueLanes::shareOf(const Workspace &workspace, std::size_t capacity) const noexcept
{
    double weights = 0;
    for (const auto &[name, other] : m_workspaces) {
        if (other.held > 0)
            weights += other.weight;
    }
    return static_cast<double>(capacity) * workspace.weight / std::max(weights, 1.0);
}

std::optional<QueueEntry> QueueLanes::evictNewestOfHeaviestWorkspace(const QueueEntry &arrival)
{
    const Workspace &mine = workspaceOf(arrival.workspace);
    const std::size_t lane = laneOf(arrival.requestClass);
    Workspace *heaviest = nullptr;
    double most = (static_cast<double>(mine.held) + 1) / mine.weight;
    for (auto &[name, workspace] : m_workspaces) {
        const double held = static_cast<double>(workspace.held) / workspace.weight;
        const bool inLane = !workspace.ready[lane].empty() || !workspace.reserved[lane].empty();
        if (!inLane || held <= most)
            continue;
        most = held;
        heaviest = &workspace;
    }
    if (!heaviest)
        return std::nullopt;
    return takeNewest(lane, heaviest);
}

std::size_t QueueLanes::ahead(const QueueEntry &arrival) const noexcept
{
    std::size_t count = 0;
    for (std::size_t lane = 0; lane <= laneOf(arrival.requestClass); ++lane)
        count += m_perClass[lane];
    return count;
}

bool QueueLanes::aboveShare(const std::string &workspace, std::size_t capacity) const
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end() || found->second.held == size())
        return false;
    return static_cast<double>(found->second.held) + 1 > shareOf(found->second, capacity);
}

} // namespace baobabtrail::impl
