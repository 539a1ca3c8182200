#include "core/directory/patch_cache.h"

#include "core/directory/value_patch.h"

#include <algorithm>
#include <stdexcept>

namespace baobabtrail {

namespace {

/// Followers usually lag by one change, or by a few while changes follow each other fast.
constexpr std::size_t MaxPatches = 8;

} // namespace

void PatchCache::replaceWithPatches(const CollectionCopy &copy, ObjectVersion after,
                                    CollectionAnswer &answer)
{
    if (after.isNull())
        return;
    std::vector<StoredObject> whole;
    for (StoredObject &object : answer.delta.change.written) {
        if (auto patch = findOrMakePatch(copy, object, after))
            answer.patches.push_back(std::move(*patch));
        else
            whole.push_back(std::move(object));
    }
    answer.delta.change.written = std::move(whole);
}

std::optional<ValuePatch> PatchCache::findOrMakePatch(const CollectionCopy &copy,
                                                      const StoredObject &object,
                                                      ObjectVersion after)
{
    // An object that is no newer than \a after is part of a complete answer: it isn't known which
    // value it replaced there.
    if (object.value.size() < MinPatchedBytes || object.version <= after)
        return std::nullopt;
    const StoredObject *base = copy.valueAt(object.key, after);
    if (!base)
        return std::nullopt;
    const auto known
        = std::find_if(m_patches.begin(), m_patches.end(), [&](const ValuePatch &each) {
              return each.key == object.key && each.base == base->version
                     && each.version == object.version;
          });
    if (known != m_patches.end())
        return *known;
    try {
        m_patches.push_back(
            {object.key, base->version, object.version, makePatch(base->value, object.value)});
    } catch (const std::runtime_error &) {
        return std::nullopt; // Out of memory: the whole value is sent instead.
    }
    if (m_patches.size() > MaxPatches)
        m_patches.pop_front();
    return m_patches.back();
}

} // namespace baobabtrail
