#pragma once

#include "core/directory/peer_view.h"

#include <deque>
#include <optional>

namespace baobabtrail {

/// \brief Patches of large objects for daemons whose copies lag, each made once.
///
/// All routes are one object. Sent whole, a change of one route fills the thin links of daemons
/// that answer others.
class PatchCache
{
public:
    /// \brief Turns what \a answer brings of large objects into patches, where the asking daemon's
    /// copy of the version \a after has an older value of theirs that \a copy remembers.
    void replaceWithPatches(const CollectionCopy &copy, ObjectVersion after,
                            CollectionAnswer &answer);

private:
    [[nodiscard]] std::optional<ValuePatch>
    findOrMakePatch(const CollectionCopy &copy, const StoredObject &object, ObjectVersion after);

    std::deque<ValuePatch> m_patches; ///< The oldest first.
};

} // namespace baobabtrail
