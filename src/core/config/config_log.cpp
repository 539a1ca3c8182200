#include "core/config/config_log.h"

#include "core/config/log_keys.h"
#include "core/config/record_codec.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxRetainedRecords = 512;
constexpr std::size_t MaxRetainedBytes = 4'000'000;
constexpr std::size_t MaxChangeIds = 4096;
constexpr std::size_t MaxServedBytes = 800'000;
constexpr std::uint32_t MaxServedRecords = 256;

} // namespace

ConfigLog::ConfigLog()
    : m_config(std::make_shared<const Config>())
{
}

AppendResult ConfigLog::append(Revision key, const std::string &text)
{
    // A late or duplicate record must not revert the configuration.
    if (key <= revision())
        return RecordAlreadyApplied{};
    if (key.value() != revision().value() + 1)
        return RecordGap{};

    auto decoded = decodeRecord(text, logKey(key));
    if (auto *finding = std::get_if<Finding>(&decoded))
        return RecordInvalid{std::move(*finding)};
    ChangeRecord &record = std::get<ChangeRecord>(decoded);
    ApplyResult applied = applyRecord(*m_config, record);
    if (!applied.findings.empty())
        return RecordInvalid{{logKey(key), toString(applied.findings.front())}};

    m_config = std::make_shared<const Config>(std::move(applied.next));
    indexChange({record.changeId, key});
    retain(std::move(record), text);
    return RecordApplied{};
}

std::optional<Finding> ConfigLog::install(const std::vector<std::string> &shards)
{
    auto decoded = decodeSnapshot(shards);
    if (auto *finding = std::get_if<Finding>(&decoded))
        return std::move(*finding);
    Snapshot &taken = std::get<Snapshot>(decoded);
    // A peer's snapshot or a stored one may be old; the configuration must never revert.
    if (taken.config.revision <= revision())
        return std::nullopt;

    m_config = std::make_shared<const Config>(std::move(taken.config));
    m_retained.clear();
    m_retainedBytes = 0;
    m_changes.clear();
    m_changeRevisions.clear();
    for (AcceptedChange &change : taken.changes)
        indexChange(std::move(change));
    return std::nullopt;
}

void ConfigLog::indexChange(AcceptedChange change)
{
    m_changeRevisions.emplace(change.changeId, change.revision);
    m_changes.push_back(std::move(change));
    if (m_changes.size() <= MaxChangeIds)
        return;
    m_changeRevisions.erase(m_changes.front().changeId);
    m_changes.pop_front();
}

void ConfigLog::retain(ChangeRecord record, std::string text)
{
    m_retainedBytes += text.size();
    m_retained.push_back({std::move(record), std::move(text)});
    while (m_retained.size() > MaxRetainedRecords
           || (m_retainedBytes > MaxRetainedBytes && m_retained.size() > 1)) {
        m_retainedBytes -= m_retained.front().text.size();
        m_retained.pop_front();
    }
}

std::optional<Revision> ConfigLog::revisionOf(const std::string &changeId) const
{
    const auto found = m_changeRevisions.find(changeId);
    if (found == m_changeRevisions.end())
        return std::nullopt;
    return found->second;
}

std::string ConfigLog::changeIdAt(Revision wanted) const
{
    const auto found = std::lower_bound(
        m_changes.begin(), m_changes.end(), wanted,
        [](const AcceptedChange &change, Revision sought) { return change.revision < sought; });
    if (found == m_changes.end() || found->revision != wanted)
        return {};
    return found->changeId;
}

Records ConfigLog::serve(const FetchRecords &request) const
{
    Records reply;
    reply.latest = revision();
    if (request.after >= revision())
        return reply;

    const bool reachesBack
        = !m_retained.empty()
          && m_retained.front().record.revision.value() <= request.after.value() + 1;
    if (!reachesBack) {
        reply.snapshotRevision = revision();
        reply.snapshotShards = encodeSnapshot(snapshot());
        return reply;
    }

    const std::size_t limit = std::min(request.limit, MaxServedRecords);
    const std::size_t first
        = request.after.value() + 1 - m_retained.front().record.revision.value();
    std::size_t bytes = 0;
    for (std::size_t i = first; i < m_retained.size() && reply.records.size() < limit; ++i) {
        bytes += m_retained[i].text.size();
        if (bytes > MaxServedBytes && !reply.records.empty())
            break;
        reply.records.push_back(m_retained[i].text);
    }
    return reply;
}

Snapshot ConfigLog::snapshot() const
{
    return {*m_config, {m_changes.begin(), m_changes.end()}};
}

std::vector<ChangeRecord> ConfigLog::retainedRecords() const
{
    std::vector<ChangeRecord> records;
    records.reserve(m_retained.size());
    for (const RetainedRecord &kept : m_retained)
        records.push_back(kept.record);
    return records;
}

} // namespace baobabtrail
