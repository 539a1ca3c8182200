#pragma once

#include "core/directory/peer_view.h"

#include <deque>
#include <optional>

namespace baobabtrail {

/// \brief Caches patches of large objects for followers that lag behind, so that each is made once.
///
/// All routes are one object. Sent whole, a change of one route would saturate the thin links of
/// daemons that have followers.
class PatchCache
{
public:
    /// \brief Replaces large objects in \a answer by patches where \a copy retains the older value
    /// that a copy of the version \a after has.
    void replaceWithPatches(const CollectionCopy &copy, ObjectVersion after,
                            CollectionAnswer &answer);

private:
    [[nodiscard]] std::optional<ValuePatch>
    findOrMakePatch(const CollectionCopy &copy, const StoredObject &object, ObjectVersion after);

    std::deque<ValuePatch> m_patches; ///< The oldest first.
};

} // namespace baobabtrail
