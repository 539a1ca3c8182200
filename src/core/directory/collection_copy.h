#pragma once

#include "core/messages/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Objects of a collection that changed, in one step of its version.
struct CollectionChange
{
    std::vector<StoredObject> written;
    std::vector<std::string> removed; ///< Keys.
    ObjectVersion version;            ///< After the change.
    /// The store was away a moment ago: what was removed may only have lapsed meanwhile.
    bool afterOutage = false;
};

/// \brief What one copy has and another, older one lacks.
struct CollectionDelta
{
    bool complete = false; ///< \a written is the whole collection; \a removed is empty.
    CollectionChange change;
};

/// \brief What shows that a copy is the store's state.
enum class Confirmation {
    /// The last time that the store confirmed it: its age counts.
    ByAge,
    /// A watch that waits at the store: for a collection that hardly ever changes, where an answer
    /// each second would cost more calls than all changes. Its age does not count; whoever is
    /// confirmed in the others has the news of this one too.
    ByWatch,
};

/// \brief A copy of one collection of the store's objects.
///
/// Its version never goes back within the life of the process, whoever says so: an older state
/// would bring a drained target back.
class CollectionCopy
{
public:
    explicit CollectionCopy(Confirmation confirmation = Confirmation::ByAge) noexcept
        : m_confirmation(confirmation)
    {
    }

    /// \return Whether its age says how far it can be relied on.
    [[nodiscard]] bool confirmedByAge() const noexcept
    {
        return m_confirmation == Confirmation::ByAge;
    }

    /// \brief Takes a complete state.
    /// \return What it changed; nothing where it is older than the copy, or the same.
    std::optional<CollectionChange> applySnapshot(const std::vector<StoredObject> &objects,
                                                  ObjectVersion version, bool afterOutage);
    /// \brief Takes what changed since a version that the copy has.
    std::optional<CollectionChange> applyChanges(const CollectionChange &changes);

    /// \brief The store confirmed that its state at this time was the copy's.
    void confirm(TimePoint when) noexcept;
    /// \brief The copy may be out of date, until it is confirmed again.
    void markUnconfirmed() noexcept { m_confirmedAt.reset(); }

    /// \brief The store gave no answer: it may be away.
    void storeFailed(TimePoint when) noexcept { m_storeFailedAt = when; }
    /// \brief The store has answered.
    void storeAnswered(TimePoint when) noexcept;
    /// \brief Another daemon says when the store came back. \param returned Nothing where that was
    /// long ago, or never. \param asOf When the store last answered there.
    void noteStoreReturn(std::optional<TimePoint> returned, TimePoint asOf) noexcept;
    /// \return When the store came back the last time, as far as is known; nothing where it was
    /// never seen to be away.
    [[nodiscard]] std::optional<TimePoint> storeReturnedAt() const noexcept
    {
        return m_storeReturnedAt;
    }

    /// \return Whether a complete state has been taken.
    [[nodiscard]] bool complete() const noexcept { return !m_version.isNull(); }
    [[nodiscard]] ObjectVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }
    [[nodiscard]] std::size_t size() const noexcept { return m_objects.size(); }
    /// \return Bytes of all values.
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    /// \return What a copy of that version lacks.
    [[nodiscard]] CollectionDelta since(ObjectVersion version) const;
    /// \return The object as a copy of that version has it, where that was an older value than the
    /// one in force and is remembered; else null. A copy that has its changes by another way may
    /// differ: whoever builds on the object compares its version.
    [[nodiscard]] const StoredObject *valueAt(const std::string &key, ObjectVersion version) const;
    /// \return The object in force, or null.
    [[nodiscard]] const StoredObject *find(const std::string &key) const;
    /// \return Whether something has changed since that version, as far as is remembered.
    [[nodiscard]] bool changedSince(ObjectVersion version) const noexcept
    {
        return version < m_changedAt;
    }

private:
    struct LoggedChange
    {
        ObjectVersion version;
        std::vector<std::string> keys; ///< Written or removed.
        bool afterOutage = false;
    };

    void recordChange(const CollectionChange &change);
    void retainReplaced(StoredObject object);

    Confirmation m_confirmation;
    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_bytes = 0; ///< Of their values.
    ObjectVersion m_version;
    ObjectVersion m_changedAt;          ///< Of the newest change.
    ObjectVersion m_changeLogStart;     ///< Changes behind this version are in \a m_changeLog.
    bool m_snapshotAfterOutage = false; ///< What is missing since before that may only have lapsed.
    std::deque<LoggedChange> m_changeLog;
    std::deque<StoredObject> m_replaced; ///< Large values that were replaced, the newest last.
    std::size_t m_replacedBytes = 0;     ///< Of these.
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_storeReturnedAt;
    std::optional<TimePoint> m_storeFailedAt; ///< The store has not been reached since then.
};

} // namespace baobabtrail
