#include "core/config/snapshot_writer.h"

#include "core/config/log_keys.h"
#include "core/config/record_codec.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::uint32_t SnapshotPage = 16;
constexpr std::uint32_t DeletesPerTick = 32;
constexpr std::size_t RetainedSnapshots = 2;

/// Minimum age of a record before it is deleted. A delayed create for an old revision must find its
/// key taken; otherwise the log would begin with a record that was never in force. No call stays in
/// flight for that long.
constexpr std::chrono::seconds MinRecordAge = std::chrono::hours{1};

} // namespace

void SnapshotWriter::tick()
{
    if (m_busy)
        return;
    if (isDue()) {
        m_busy = true;
        list(std::string{SnapshotPrefix}, {});
    } else if (!m_oldSnapshots.empty() || !m_compactTo.isNull()) {
        m_busy = true;
        compact();
    }
}

bool SnapshotWriter::isDue() const
{
    return m_log.revision().value()
           >= m_newestSnapshot.value() + m_context.settings().snapshotEvery;
}

void SnapshotWriter::list(const std::string &after, std::vector<StoredObject> found)
{
    const ListObjects request{std::string{SnapshotPrefix}, after, SnapshotPage};
    m_context.call(request, [this, found = std::move(found)](const PlatformResult &result) mutable {
        const auto *page = std::get_if<ObjectList>(&result);
        if (!page) {
            m_busy = false;
            return;
        }
        found.insert(found.end(), page->objects.begin(), page->objects.end());
        if (page->objects.size() < SnapshotPage)
            return onListed(found);
        const std::string last = found.back().key;
        list(last, std::move(found));
    });
}

void SnapshotWriter::onListed(const std::vector<StoredObject> &objects)
{
    const std::vector<StoredSnapshot> complete = completeSnapshots(objects);
    if (!complete.empty())
        m_newestSnapshot = complete.back().revision;
    if (complete.size() >= RetainedSnapshots) {
        m_compactTo = complete[complete.size() - RetainedSnapshots].revision;
        for (const StoredObject &object : objects) {
            const auto key = parseSnapshotKey(object.key);
            if (key && key->revision < m_compactTo)
                m_oldSnapshots.push_back(object.key);
        }
    }
    if (!isDue()) {
        m_busy = false;
        return;
    }
    auto job = std::make_shared<Job>();
    job->revision = m_log.revision();
    job->shards = encodeSnapshot(m_log.snapshot());
    writeShard(job);
}

void SnapshotWriter::writeShard(const std::shared_ptr<Job> &job)
{
    if (job->written == job->shards.size())
        return writeManifest(job);
    const CreateObject request{shardKey(job->revision, job->written), job->shards[job->written]};
    m_context.call(request, [this, job](const PlatformResult &result) {
        // A conflict means that an earlier attempt wrote the shard; if its content differs, the
        // manifest's checksum doesn't match and the snapshot is not used.
        const bool exists = std::holds_alternative<Written>(result)
                            || std::holds_alternative<WriteConflict>(result);
        if (!exists) {
            m_busy = false;
            return;
        }
        ++job->written;
        writeShard(job);
    });
}

void SnapshotWriter::writeManifest(const std::shared_ptr<Job> &job)
{
    const SnapshotManifest manifest = makeManifest(job->revision, job->shards);
    const CreateObject request{manifestKey(job->revision), encodeManifest(manifest)};
    m_context.call(request, [this, job](const PlatformResult &result) {
        m_busy = false;
        if (!std::holds_alternative<Written>(result))
            return;
        m_newestSnapshot = std::max(m_newestSnapshot, job->revision);
        m_context.notice(Severity::Info, Part::Config,
                         "Wrote a snapshot of revision " + std::to_string(job->revision.value())
                             + " in " + std::to_string(job->shards.size()) + " shards");
    });
}

void SnapshotWriter::compact()
{
    if (!m_oldSnapshots.empty()) {
        auto keys = std::make_shared<std::vector<std::string>>();
        while (!m_oldSnapshots.empty() && keys->size() < DeletesPerTick) {
            keys->push_back(std::move(m_oldSnapshots.back()));
            m_oldSnapshots.pop_back();
        }
        return deleteNext(keys);
    }
    m_context.call(ListObjects{std::string{LogPrefix}, std::string{LogPrefix}, DeletesPerTick},
                   [this](const PlatformResult &result) {
                       if (const auto *page = std::get_if<ObjectList>(&result))
                           return onOldRecords(*page);
                       m_busy = false;
                   });
}

void SnapshotWriter::onOldRecords(const ObjectList &list)
{
    auto keys = std::make_shared<std::vector<std::string>>();
    const auto newest = (m_context.unixNow() - MinRecordAge).time_since_epoch().count();
    for (const StoredObject &object : list.objects) {
        const auto revision = parseLogKey(object.key);
        if (!revision || *revision > m_compactTo)
            break;
        const auto decoded = decodeRecord(object.value, object.key);
        const auto *record = std::get_if<ChangeRecord>(&decoded);
        if (record && record->unixSeconds > newest)
            break;
        keys->push_back(object.key);
    }
    if (keys->empty())
        m_compactTo = Revision{};
    deleteNext(keys);
}

void SnapshotWriter::deleteNext(const std::shared_ptr<std::vector<std::string>> &keys)
{
    if (keys->empty()) {
        m_busy = false;
        return;
    }
    // Oldest first, so that an interrupted deletion never leaves a gap before a newer record.
    const std::string key = keys->front();
    keys->erase(keys->begin());
    m_context.call(DeleteObject{key}, [this, keys](const PlatformResult &result) {
        if (std::holds_alternative<PlatformFailure>(result))
            keys->clear();
        deleteNext(keys);
    });
}

} // namespace baobabtrail
