#include "core/directory/collection_copy.h"

#include "core/directory/value_patch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace baobabtrail {

namespace {

/// Changes that are logged for copies that lag behind: about a minute of a busy day. A copy that
/// lags further gets the complete collection.
constexpr std::size_t MaxLoggedChanges = 256;
/// Size of replaced values that are retained as bases of patches: two of the largest objects that
/// the store holds. A follower that lags further gets the whole value.
constexpr std::size_t MaxReplacedBytes = 2 << 20;
/// An outage may have passed unseen where nothing was heard of the store for longer: a daemon that
/// loses its source calls the store itself and finds it available again. Above the age at which a
/// copy is stale, which a change of the source may take.
constexpr Duration MaxSilence = 2500ms;

} // namespace

std::optional<CollectionChange> CollectionCopy::applySnapshot(std::vector<StoredObject> objects,
                                                              ObjectVersion version,
                                                              bool afterOutage)
{
    if (version < m_version)
        return std::nullopt;
    CollectionChange change;
    change.version = version;
    change.afterOutage = afterOutage;
    std::map<std::string, StoredObject> next;
    m_bytes = 0;
    for (const StoredObject &object : objects) {
        m_bytes += object.value.size();
        next.emplace(object.key, object);
    }
    std::erase_if(objects, [this](const StoredObject &object) {
        const auto known = m_objects.find(object.key);
        if (known == m_objects.end())
            return false;
        if (known->second.version == object.version)
            return true;
        retainReplaced(std::move(known->second));
        return false;
    });
    change.written = std::move(objects);
    for (const auto &[key, object] : m_objects) {
        if (!next.contains(key))
            change.removed.push_back(key);
    }
    const bool first = !complete();
    m_objects = std::move(next);
    m_version = version;
    const bool changed = !change.written.empty() || !change.removed.empty();
    if (first || changed)
        m_changedAt = version;
    // Objects that were created and removed between the two states are not known here. A copy of a
    // version in between may hold a target that is long gone; only a complete answer removes it
    // there.
    m_changeLog.clear();
    m_changeLogStart = version;
    // After a start it isn't known either whether the store was unavailable before.
    m_snapshotAfterOutage = afterOutage || first;
    return first || changed ? std::optional{change} : std::nullopt;
}

std::optional<CollectionChange> CollectionCopy::applyChanges(const CollectionChange &changes)
{
    if (changes.version < m_version)
        return std::nullopt;
    CollectionChange change;
    change.version = changes.version;
    change.afterOutage = changes.afterOutage;
    for (const StoredObject &object : changes.written) {
        StoredObject &known = m_objects[object.key];
        if (known.version >= object.version)
            continue;
        m_bytes += object.value.size() - known.value.size();
        retainReplaced(std::move(known));
        known = object;
        change.written.push_back(object);
    }
    for (const std::string &key : changes.removed) {
        const auto known = m_objects.find(key);
        if (known == m_objects.end())
            continue;
        m_bytes -= known->second.value.size();
        m_objects.erase(known);
        change.removed.push_back(key);
    }
    m_version = changes.version;
    // An object that was created and removed within these changes was never in this copy, but may
    // be in a copy of a version in between, so its removal is logged all the same.
    if (!change.written.empty() || !changes.removed.empty())
        recordChange({change.written, changes.removed, change.version, change.afterOutage});
    if (change.written.empty() && change.removed.empty())
        return std::nullopt;
    return change;
}

void CollectionCopy::recordChange(const CollectionChange &change)
{
    LoggedChange step{change.version, change.removed, change.afterOutage};
    for (const StoredObject &object : change.written)
        step.keys.push_back(object.key);
    m_changedAt = change.version;
    m_changeLog.push_back(std::move(step));
    if (m_changeLog.size() <= MaxLoggedChanges)
        return;
    m_changeLogStart = m_changeLog.front().version;
    m_changeLog.pop_front();
}

CollectionDelta CollectionCopy::since(ObjectVersion version) const
{
    CollectionDelta delta;
    delta.change.version = m_version;
    if (version < m_changeLogStart) {
        delta.complete = true;
        delta.change.afterOutage
            = m_snapshotAfterOutage
              || std::any_of(m_changeLog.begin(), m_changeLog.end(),
                             [](const LoggedChange &step) { return step.afterOutage; });
        for (const auto &[key, object] : m_objects)
            delta.change.written.push_back(object);
        return delta;
    }
    std::set<std::string> keys;
    for (const LoggedChange &step : m_changeLog) {
        if (step.version <= version)
            continue;
        keys.insert(step.keys.begin(), step.keys.end());
        delta.change.afterOutage = delta.change.afterOutage || step.afterOutage;
    }
    for (const std::string &key : keys) {
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            delta.change.removed.push_back(key);
        else
            delta.change.written.push_back(found->second);
    }
    return delta;
}

void CollectionCopy::retainReplaced(StoredObject object)
{
    if (object.value.size() < MinPatchedBytes)
        return;
    m_replacedBytes += object.value.size();
    m_replaced.push_back(std::move(object));
    while (m_replacedBytes > MaxReplacedBytes) {
        m_replacedBytes -= m_replaced.front().value.size();
        m_replaced.pop_front();
    }
}

const StoredObject *CollectionCopy::valueAt(const std::string &key, ObjectVersion version) const
{
    const auto newestFirst
        = std::find_if(m_replaced.rbegin(), m_replaced.rend(), [&](const StoredObject &old) {
              return old.key == key && old.version <= version;
          });
    return newestFirst == m_replaced.rend() ? nullptr : &*newestFirst;
}

const StoredObject *CollectionCopy::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

void CollectionCopy::confirm(TimePoint when) noexcept
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(when), when);
}

bool CollectionCopy::silentUntil(TimePoint when) const noexcept
{
    return m_confirmedAt && when - *m_confirmedAt > MaxSilence;
}

void CollectionCopy::storeAnswered(TimePoint when) noexcept
{
    if (std::exchange(m_storeFailedAt, std::nullopt) || silentUntil(when))
        m_storeReturnedAt = when;
}

void CollectionCopy::noteStoreReturn(std::optional<TimePoint> returned, TimePoint asOf) noexcept
{
    if (m_storeFailedAt && *m_storeFailedAt < asOf)
        m_storeFailedAt.reset();
    // The other daemon may have started after the store's return.
    if (!returned && silentUntil(asOf))
        returned = asOf;
    if (returned)
        m_storeReturnedAt = std::max(m_storeReturnedAt.value_or(*returned), *returned);
}

} // namespace baobabtrail
