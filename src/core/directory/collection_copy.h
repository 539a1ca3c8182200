#pragma once

#include "core/messages/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Objects of a collection that were written or removed in one step of its version.
struct CollectionChange
{
    std::vector<StoredObject> written;
    std::vector<std::string> removed; ///< Keys.
    ObjectVersion version;            ///< After the change.
    /// The store was unavailable shortly before: the removed registrations may only have lapsed,
    /// and their targets may still be alive.
    bool afterOutage = false;
};

/// \brief The difference between a copy and an older one.
struct CollectionDelta
{
    /// \a change.written is the whole collection; \a change.removed is empty.
    bool complete = false;
    CollectionChange change;
};

/// \brief How it is known that a copy matches the store.
enum class Confirmation {
    /// By the time of the store's last confirmation: the age of the copy counts.
    ByAge,
    /// By a watch that is open at the store. For a collection that hardly ever changes, for which
    /// an answer each second would cost more calls than all its changes. The age of the copy
    /// doesn't count; a daemon whose other copies are confirmed has received the changes of this
    /// one too.
    ByWatch,
};

/// \brief A copy of one collection of the store's objects.
///
/// Its version never decreases while the process runs, whatever the source of an update: an older
/// state would bring a drained target back.
class CollectionCopy
{
public:
    explicit CollectionCopy(Confirmation confirmation = Confirmation::ByAge) noexcept
        : m_confirmation(confirmation)
    {
    }

    /// \return Whether the age of the copy tells how far it can be relied on.
    [[nodiscard]] bool confirmedByAge() const noexcept
    {
        return m_confirmation == Confirmation::ByAge;
    }

    /// \brief Replaces the copy by a complete state.
    /// \param afterOutage Whether removed objects may only have lapsed.
    /// \return The resulting change, or nothing where the state is older than the copy or equal to
    /// it.
    std::optional<CollectionChange> applySnapshot(std::vector<StoredObject> objects,
                                                  ObjectVersion version, bool afterOutage);
    /// \brief Applies the changes since a version that the copy has.
    /// \return The resulting change, or nothing where the copy stays as it is.
    std::optional<CollectionChange> applyChanges(const CollectionChange &changes);

    /// \brief Records that the store confirmed the copy as its state at that time.
    void confirm(TimePoint when) noexcept;
    /// \brief Marks the copy as possibly out of date until the store confirms it again.
    void markUnconfirmed() noexcept { m_confirmedAt.reset(); }

    /// \brief Records that the store did not answer and may be unavailable.
    void storeFailed(TimePoint when) noexcept { m_storeFailedAt = when; }
    /// \brief Records that the store answered; after a failure this is the time of its return.
    void storeAnswered(TimePoint when) noexcept;
    /// \brief Takes over what another daemon knows of the store's last return.
    /// \param returned Nothing where the store returned long ago, or was never unavailable.
    /// \param asOf When the store last answered the other daemon.
    void noteStoreReturn(std::optional<TimePoint> returned, TimePoint asOf) noexcept;
    /// \return When the store last returned from an outage, as far as is known, or nothing where
    /// none was seen.
    [[nodiscard]] std::optional<TimePoint> storeReturnedAt() const noexcept
    {
        return m_storeReturnedAt;
    }

    /// \return Whether a complete state has been applied.
    [[nodiscard]] bool complete() const noexcept { return !m_version.isNull(); }
    [[nodiscard]] ObjectVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const noexcept { return m_confirmedAt; }
    [[nodiscard]] std::size_t size() const noexcept { return m_objects.size(); }
    /// \return Size of all values, in bytes.
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    /// \return What a copy of the given version lacks.
    [[nodiscard]] CollectionDelta since(ObjectVersion version) const;
    /// \return The object as a copy of that version has it, or null unless that is an older,
    /// retained value. A copy that got its changes in another way may differ, so the caller has to
    /// compare the object's version.
    [[nodiscard]] const StoredObject *valueAt(const std::string &key, ObjectVersion version) const;
    /// \return The current object, or null.
    [[nodiscard]] const StoredObject *find(const std::string &key) const;
    /// \return Whether the newest known change is newer than that version.
    [[nodiscard]] bool changedSince(ObjectVersion version) const noexcept
    {
        return version < m_changedAt;
    }

private:
    struct LoggedChange
    {
        ObjectVersion version;
        std::vector<std::string> keys; ///< Of written and removed objects.
        bool afterOutage = false;
    };

    /// \return Whether the store was not heard of for so long that it may have been unavailable.
    [[nodiscard]] bool silentUntil(TimePoint when) const noexcept;
    void recordChange(const CollectionChange &change);
    void retainReplaced(StoredObject object);

    Confirmation m_confirmation;
    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_bytes = 0; ///< Total size of the values.
    ObjectVersion m_version;
    ObjectVersion m_changedAt;      ///< Version of the newest change.
    ObjectVersion m_changeLogStart; ///< \a m_changeLog holds the changes after this version.
    /// What is missing since before the last snapshot may only have lapsed.
    bool m_snapshotAfterOutage = false;
    std::deque<LoggedChange> m_changeLog;
    std::deque<StoredObject> m_replaced; ///< Large values that were replaced, the newest last.
    std::size_t m_replacedBytes = 0;     ///< Total size of \a m_replaced.
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_storeReturnedAt;
    std::optional<TimePoint> m_storeFailedAt; ///< Since then the store has not answered.
};

} // namespace baobabtrail
