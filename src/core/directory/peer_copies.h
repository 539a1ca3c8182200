#pragma once

#include "core/directory/peer_view.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A collection that is kept up to date by the answers of other daemons.
struct SharedCollection
{
    std::string prefix;
    CollectionCopy *copy = nullptr;                                ///< Never null.
    std::function<void(const CollectionChange &change)> changed{}; ///< Called for each change.
};

/// \brief The effect of an answer on the copies.
struct CopyUpdate
{
    bool changed = false;   ///< At least one copy changed.
    bool confirmed = false; ///< The copies match the answering daemon's and have their age.
    bool fresh = false;     ///< The copies are young enough to be relied on.
};

/// \brief The collections that daemons share, updated together by one query and its answer.
class PeerCopies
{
public:
    explicit PeerCopies(std::vector<SharedCollection> collections)
        : m_collections(std::move(collections))
    {
    }

    /// \return Whether there is a copy of each collection.
    [[nodiscard]] bool complete() const;
    /// \return When the oldest of the copies confirmed by age was confirmed; nothing where one
    /// never was.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;
    /// \return The oldest version of the copies that are confirmed by age.
    [[nodiscard]] ObjectVersion version() const;
    [[nodiscard]] std::vector<CollectionQuery> queries() const;

    /// \brief Replaces the patches of an answer by whole objects.
    /// \return False where a patch doesn't fit the copy that it is for.
    [[nodiscard]] bool resolvePatches(PeerAnswer &answer) const;
    /// \brief Applies an answer to queries(), also a stale one where it is newer than the copies.
    /// \param staleAfter Age beyond which a copy is no longer relied on.
    [[nodiscard]] CopyUpdate apply(PeerAnswer answer, Duration staleAfter, TimePoint now);

private:
    /// \brief Takes over what the answer says of the store's last return.
    void noteStoreReturn(const PeerAnswer &answer, TimePoint now) const;

    std::vector<SharedCollection> m_collections;
};

} // namespace baobabtrail
