#pragma once

#include "core/membership/view.h"
#include "core/messages/peer.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace baobabtrail {

/// \brief Another daemon of this failure domain.
struct MemberEntry
{
    MemberUpdate update;
    TimePoint changedAt{};
    TimePoint heardAt{};        ///< Last message received from the daemon itself.
    TimePoint suspectUntil{};   ///< End of the suspicion; set only while one is pending.
    bool suspectedHere = false; ///< The suspicion is this daemon's: its own ping failed.
};

/// \return Whether \a update supersedes \a known, both of the same daemon: by incarnation, then by
/// version, then by precedence of the state.
[[nodiscard]] bool isNewer(const MemberUpdate &update, const MemberUpdate &known) noexcept;

/// \brief Table of the other daemons of this failure domain; dead ones are retained for a while.
class MemberTable
{
public:
    enum class Merge { Newer, Unchanged };

    /// \brief Applies \a update if it is newer; the revision is raised in any case.
    Merge merge(const MemberUpdate &update, TimePoint now);
    /// \brief Erases members that have been dead for long.
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

/// \return The view's entry for \a update.
[[nodiscard]] Member toMember(const MemberUpdate &update);

} // namespace baobabtrail
