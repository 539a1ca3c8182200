#pragma once

#include "core/membership/view.h"
#include "core/messages/peer.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace baobabtrail {

/// \brief One other daemon of the failure domain.
struct MemberEntry
{
    MemberUpdate update;
    TimePoint changedAt{};
    TimePoint heardAt{};        ///< Last message that it sent itself.
    TimePoint suspectUntil{};   ///< Only in use where it is suspected.
    bool suspectedHere = false; ///< This daemon itself got no answer from it.
};

/// \brief Whether \a update says something newer than \a known of the same daemon: a higher
/// incarnation, then a higher version, then the state that overrides the others.
[[nodiscard]] bool isNewer(const MemberUpdate &update, const MemberUpdate &known) noexcept;

/// \brief What is known of the other daemons of the failure domain, dead ones included for a while.
class MemberTable
{
public:
    enum class Merge { Newer, Unchanged };

    /// \brief Takes news where it is newer; the revision is raised in any case.
    Merge merge(const MemberUpdate &update, TimePoint now);
    /// \brief Forgets members that are dead for long.
    void eraseDead(TimePoint now);

    [[nodiscard]] MemberEntry *find(DaemonId id);
    [[nodiscard]] const std::map<DaemonId, MemberEntry> &entries() const noexcept
    {
        return m_entries;
    }
    /// \return Members that are not dead.
    [[nodiscard]] std::vector<const MemberEntry *> present() const;
    [[nodiscard]] std::vector<const MemberEntry *> dead() const;
    [[nodiscard]] std::size_t presentCount() const;

private:
    std::map<DaemonId, MemberEntry> m_entries;
};

/// \return The entry of a view for \a update.
[[nodiscard]] Member toMember(const MemberUpdate &update);

} // namespace baobabtrail
