#include "core/config/log_reader.h"

#include "core/config/log_keys.h"

#include <algorithm>
#include <map>
#include <utility>

namespace baobabtrail {

namespace {

constexpr std::uint32_t LogPage = 64;
constexpr std::uint32_t SnapshotPage = 16;
constexpr Duration InvalidRecordReportPeriod = 60s;

[[nodiscard]] LogUnreachable unreachable(const PlatformResult &result)
{
    if (const auto *failure = std::get_if<PlatformFailure>(&result))
        return {failure->what, failure->retryAfter};
    return {"the platform answered with an unexpected result", Duration{0}};
}

} // namespace

void LogReader::catchUp(Done done)
{
    m_waiting.push_back(std::move(done));
    if (m_waiting.size() > 1)
        return;
    listLog();
}

void LogReader::listLog()
{
    m_startedAt = m_context.now();
    const ListObjects request{std::string{LogPrefix}, logKey(m_log.revision()), LogPage};
    m_context.call(request, [this](const PlatformResult &result) {
        if (const auto *list = std::get_if<ObjectList>(&result))
            onLog(*list);
        else
            finish(unreachable(result));
    });
}

void LogReader::onLog(const ObjectList &list)
{
    for (const StoredObject &object : list.objects) {
        const auto revision = parseLogKey(object.key);
        if (!revision)
            continue;
        const AppendResult appended = append(*revision, object.value);
        if (std::holds_alternative<RecordGap>(appended))
            return readMissing();
        if (const auto *bad = std::get_if<RecordInvalid>(&appended))
            return finish(LogBroken{bad->finding});
    }
    if (list.objects.size() >= LogPage)
        return listLog();
    m_confirmedAt = m_startedAt;
    finish(LogReadDone{list.latest});
}

bool LogReader::applyWatched(const ObjectList &list)
{
    std::map<Revision, const std::string *> byRevision;
    for (const StoredObject &object : list.objects) {
        if (const auto revision = parseLogKey(object.key))
            byRevision.emplace(*revision, &object.value);
    }
    for (const auto &[revision, text] : byRevision) {
        if (std::holds_alternative<RecordGap>(append(revision, *text)))
            return true;
    }
    return false;
}

AppendResult LogReader::append(Revision key, const std::string &text)
{
    AppendResult result = m_log.append(key, text);
    if (const auto *bad = std::get_if<RecordInvalid>(&result)) {
        m_invalidRevision = key;
        reportInvalid(bad->finding);
    }
    return result;
}

// The next revision was not in the list: either it was deleted and a snapshot covers it, or the
// list was incomplete. Reading that one object shows which, and costs less than a snapshot.
void LogReader::readMissing()
{
    const Revision next{m_log.revision().value() + 1};
    m_context.call(ReadObject{logKey(next)}, [this, next](const PlatformResult &result) {
        if (std::holds_alternative<ObjectMissing>(result))
            return listSnapshots(std::string{SnapshotPrefix}, {});
        const auto *object = std::get_if<StoredObject>(&result);
        if (!object)
            return finish(unreachable(result));
        const AppendResult appended = append(next, object->value);
        if (const auto *bad = std::get_if<RecordInvalid>(&appended))
            return finish(LogBroken{bad->finding});
        listLog();
    });
}

void LogReader::listSnapshots(const std::string &after, std::vector<StoredObject> found)
{
    const ListObjects request{std::string{SnapshotPrefix}, after, SnapshotPage};
    m_context.call(request, [this, found = std::move(found)](const PlatformResult &result) mutable {
        const auto *list = std::get_if<ObjectList>(&result);
        if (!list)
            return finish(unreachable(result));
        found.insert(found.end(), list->objects.begin(), list->objects.end());
        if (list->objects.size() < SnapshotPage)
            return onSnapshots(found);
        std::string last = found.back().key;
        listSnapshots(last, std::move(found));
    });
}

void LogReader::onSnapshots(const std::vector<StoredObject> &objects)
{
    const Revision before = m_log.revision();
    std::vector<StoredSnapshot> snapshots = completeSnapshots(objects);
    while (!snapshots.empty() && m_log.revision() == before) {
        if (const auto finding = m_log.install(snapshots.back().shards))
            reportInvalid(*finding);
        snapshots.pop_back();
    }
    if (m_log.revision() != before)
        return listLog();
    const Finding finding{logKey(Revision{before.value() + 1}),
                          "is missing, and no complete snapshot reaches past it"};
    reportInvalid(finding);
    finish(LogBroken{finding});
}

void LogReader::finish(const LogReadResult &result)
{
    // A handler may call catchUp() right away, which starts a read only if the list is empty.
    const std::vector<Done> waiting = std::exchange(m_waiting, {});
    for (const Done &done : waiting)
        done(result);
}

void LogReader::reportInvalid(const Finding &finding)
{
    if (m_invalidReportedAt && m_context.now() - *m_invalidReportedAt < InvalidRecordReportPeriod)
        return;
    m_invalidReportedAt = m_context.now();
    m_context.notice(Severity::Error, Part::Config,
                     toString(finding) + "; serving on revision "
                         + std::to_string(m_log.revision().value()));
}

std::vector<StoredSnapshot> completeSnapshots(const std::vector<StoredObject> &objects)
{
    struct Parts
    {
        std::map<std::size_t, std::string> shards;
        std::optional<SnapshotManifest> manifest;
    };
    std::map<Revision, Parts> byRevision;
    for (const StoredObject &object : objects) {
        const auto key = parseSnapshotKey(object.key);
        if (!key)
            continue;
        Parts &parts = byRevision[key->revision];
        if (key->shard) {
            parts.shards.emplace(*key->shard, object.value);
            continue;
        }
        auto manifest = decodeManifest(object.value, object.key);
        if (auto *decoded = std::get_if<SnapshotManifest>(&manifest))
            parts.manifest = std::move(*decoded);
    }

    std::vector<StoredSnapshot> complete;
    for (auto &[revision, parts] : byRevision) {
        std::vector<std::string> shards;
        for (auto &[index, text] : parts.shards)
            shards.push_back(std::move(text));
        // A writer that crashed midway leaves shards without a manifest or with different content.
        if (parts.manifest != makeManifest(revision, shards))
            continue;
        complete.push_back({revision, std::move(shards)});
    }
    return complete;
}

} // namespace baobabtrail
