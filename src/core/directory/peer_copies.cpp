#include "core/directory/peer_copies.h"

#include "core/directory/value_patch.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// \brief Moves each patched object into the written ones of the answer.
[[nodiscard]] bool resolveCollectionPatches(const CollectionCopy &copy, CollectionAnswer &answer)
{
    for (const ValuePatch &patch : answer.patches) {
        const StoredObject *base = copy.find(patch.key);
        if (base && base->version >= patch.version) {
            // Already received from the store. It has to be part of the answer all the same: a
            // complete answer removes what it doesn't list, and this daemon would have no routes to
            // serve.
            answer.delta.change.written.push_back(*base);
            continue;
        }
        if (!base || base->version != patch.base)
            return false;
        auto value = applyPatch(base->value, patch.bytes);
        if (!value)
            return false;
        answer.delta.change.written.push_back({patch.key, std::move(*value), patch.version});
    }
    return true;
}

} // namespace

bool PeerCopies::complete() const
{
    return std::all_of(m_collections.begin(), m_collections.end(),
                       [](const SharedCollection &each) { return each.copy->complete(); });
}

std::optional<TimePoint> PeerCopies::confirmedAt() const
{
    std::optional<TimePoint> oldest;
    for (const SharedCollection &each : m_collections) {
        if (!each.copy->confirmedByAge())
            continue;
        const auto confirmed = each.copy->confirmedAt();
        if (!confirmed)
            return std::nullopt;
        oldest = std::min(oldest.value_or(*confirmed), *confirmed);
    }
    return oldest;
}

ObjectVersion PeerCopies::version() const
{
    std::optional<ObjectVersion> oldest;
    for (const SharedCollection &each : m_collections) {
        if (each.copy->confirmedByAge())
            oldest = std::min(oldest.value_or(each.copy->version()), each.copy->version());
    }
    return oldest.value_or(ObjectVersion{});
}

std::vector<CollectionQuery> PeerCopies::queries() const
{
    std::vector<CollectionQuery> out;
    for (const SharedCollection &each : m_collections)
        out.push_back({each.prefix, each.copy->version()});
    return out;
}

bool PeerCopies::resolvePatches(PeerAnswer &answer) const
{
    for (std::size_t index = 0; index < m_collections.size(); ++index) {
        if (!resolveCollectionPatches(*m_collections[index].copy, answer.collections[index]))
            return false;
    }
    return true;
}

void PeerCopies::noteStoreReturn(const PeerAnswer &answer, TimePoint now) const
{
    for (std::size_t index = 0; index < m_collections.size(); ++index) {
        std::optional<TimePoint> returned;
        if (const auto since = answer.collections[index].sinceStoreReturn)
            returned = now - *since;
        m_collections[index].copy->noteStoreReturn(returned, now - answer.age);
    }
}

CopyUpdate PeerCopies::apply(PeerAnswer answer, Duration staleAfter, TimePoint now)
{
    const auto confirmed = confirmedAt();
    const bool localIsFresh = confirmed && now - *confirmed <= staleAfter;
    CopyUpdate update;
    bool behind = false;
    noteStoreReturn(answer, now);
    for (std::size_t index = 0; index < m_collections.size(); ++index) {
        const SharedCollection &collection = m_collections[index];
        CollectionDelta &delta = answer.collections[index].delta;
        CollectionChange &news = delta.change;
        if (news.version < collection.copy->version()) {
            // The version of a copy confirmed by watch grows only with its changes: a peer with an
            // older version usually lacks nothing, and what it lacks is on its way there.
            behind = behind || collection.copy->confirmedByAge();
            continue;
        }
        const auto change = delta.complete ? collection.copy->applySnapshot(
                                std::move(news.written), news.version, news.afterOutage)
                                           : collection.copy->applyChanges(news);
        if (!change)
            continue;
        update.changed = true;
        collection.changed(*change);
    }
    update.fresh = answer.age <= staleAfter;
    // The peer is behind because this daemon had to query the store itself, and catches up soon.
    // Going on with the store would keep this daemon ahead of its peers, and at the store, for
    // ever.
    if (behind) {
        update.fresh = update.fresh && localIsFresh;
        return update;
    }
    for (const SharedCollection &each : m_collections)
        each.copy->confirm(now - answer.age);
    update.confirmed = true;
    return update;
}

} // namespace baobabtrail
