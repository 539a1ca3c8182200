#pragma once

#include "core/directory/peer_view.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief A collection that is kept up to date by other daemons' answers.
struct SharedCollection
{
    std::string prefix;
    CollectionCopy *copy = nullptr;                                ///< Never null.
    std::function<void(const CollectionChange &change)> changed{}; ///< Told of each change.
};

/// \brief What became of the copies by one answer.
struct CopyUpdate
{
    bool changed = false;   ///< One of the copies is another one now.
    bool confirmed = false; ///< They are the answering daemon's, and as old.
    bool fresh = false;     ///< They are young enough to be relied on.
};

/// \brief The copies that daemons share, all in one question and one answer.
class PeerCopies
{
public:
    explicit PeerCopies(std::vector<SharedCollection> collections)
        : m_collections(std::move(collections))
    {
    }

    /// \return Whether there is a copy of each collection.
    [[nodiscard]] bool complete() const;
    /// \return Of the older one of those that are dated; nothing where one was never confirmed.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const;
    /// \return The oldest version of those that are dated.
    [[nodiscard]] ObjectVersion version() const;
    [[nodiscard]] std::vector<CollectionQuery> queries() const;

    /// \brief Makes whole objects of the patches of an answer. \return False where one does not fit
    /// the copy that it is for.
    [[nodiscard]] bool resolvePatches(PeerAnswer &answer) const;
    /// \brief Takes an answer to question(); one that is stale is taken too, where it is newer.
    /// \param staleAfter Age at which a copy is no longer relied on.
    [[nodiscard]] CopyUpdate apply(const PeerAnswer &answer, Duration staleAfter, TimePoint now);

private:
    /// \brief Takes what the answer says of the store's having been away.
    void noteStoreReturn(const PeerAnswer &answer, TimePoint now) const;

    std::vector<SharedCollection> m_collections;
};

} // namespace baobabtrail
