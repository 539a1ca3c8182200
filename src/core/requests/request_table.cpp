#include "core/requests/request_table.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

bool RequestTable::shareExhausted(const std::string &workspace, std::uint32_t weight,
                                  std::uint64_t totalWeight) const noexcept
{
    // While the table is less than half full, a workspace may use more than its share.
    if (m_records.size() < m_capacity / 2)
        return false;
    const auto found = m_perWorkspace.find(workspace);
    if (found == m_perWorkspace.end() || totalWeight == 0)
        return false;
    return found->second >= m_capacity * weight / totalWeight;
}

RequestRecord *RequestTable::find(const RequestId &id) noexcept
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

RequestRecord *RequestTable::findAttempt(AttemptId attempt) noexcept
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

RequestRecord &RequestTable::add(RequestRecord record)
{
    const RequestId id = record.id;
    ++m_perWorkspace[record.workspace];
    m_due.push({record.dueAt, id});
    RequestRecord &added = m_records.insert_or_assign(id, std::move(record)).first->second;
    adjustCounts(added, true);
    return added;
}

void RequestTable::erase(const RequestId &id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    adjustCounts(found->second, false);
    const auto workspace = m_perWorkspace.find(found->second.workspace);
    if (--workspace->second == 0)
        m_perWorkspace.erase(workspace);
    m_records.erase(found);
}

void RequestTable::setState(RequestRecord &record, RequestState state, TimePoint dueAt)
{
    adjustCounts(record, false);
    record.state = std::move(state);
    adjustCounts(record, true);
    if (record.dueAt == dueAt)
        return;
    record.dueAt = dueAt;
    m_due.push({dueAt, record.id});
}

void RequestTable::adjustCounts(const RequestRecord &record, bool added) noexcept
{
    const std::size_t sign = added ? 1 : std::size_t(-1);
    if (record.inProgress())
        m_inProgress += sign;
    if (const AnsweredState *answered = std::get_if<AnsweredState>(&record.state))
        m_answerBytes += sign * answered->payload.size();
}

RequestRecord *RequestTable::due(TimePoint now)
{
    while (!m_due.empty() && m_due.top().at <= now) {
        const Due due = m_due.top();
        m_due.pop();
        RequestRecord *record = find(due.id);
        if (record && record->dueAt == due.at)
            return record;
    }
    return nullptr;
}

std::optional<TimePoint> RequestTable::nextTimer() const noexcept
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.top().at;
}

std::vector<RequestId> RequestTable::ofTarget(TargetId target) const
{
    std::vector<RequestId> ids;
    for (const auto &[id, record] : m_records) {
        if (record.target == target && record.inProgress())
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace baobabtrail
