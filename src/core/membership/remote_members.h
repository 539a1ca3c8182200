#pragma once

#include "core/membership/view.h"
#include "core/messages/peer.h"
#include "core/messages/platform.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Daemons of other failure domains, known from the VM list and from rumors.
///
/// They are not all pinged: the list of up to 630 is maintained from changes only. It may be out of
/// date, and is used only to reach some daemon of a domain and for load balancing.
class RemoteMembers
{
public:
    /// \brief Applies the VM list.
    /// \return Daemons whose changes should be passed on; none for the first list, which every
    /// daemon reads itself at startup.
    [[nodiscard]] std::vector<DaemonId> applyVmList(const VmList &list,
                                                    const std::string &ownDomain, TimePoint now);
    /// \brief Applies an update that another daemon passed on.
    /// \return Whether it should be passed on.
    [[nodiscard]] bool applyRumor(const MemberUpdate &update, TimePoint now);
    /// \brief Applies an update that a daemon sent about itself.
    /// \return Whether it should be passed on.
    [[nodiscard]] bool applyDirect(const MemberUpdate &update, TimePoint now);
    /// \brief Raises the revision known to be in force at a daemon.
    void raiseRevision(DaemonId id, Revision revision);
    void eraseDead(TimePoint now);

    [[nodiscard]] const MemberUpdate *find(DaemonId id) const;
    [[nodiscard]] std::vector<const MemberUpdate *> present() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }
    /// \return The entry at \a index in order of ids, or null if it is dead.
    [[nodiscard]] const MemberUpdate *at(std::size_t index) const;
    [[nodiscard]] std::map<std::string, std::vector<Member>> byDomain() const;
    /// \return Whether anything but revisions changed since the last call.
    [[nodiscard]] bool takeChanged() noexcept;

private:
    struct Entry
    {
        MemberUpdate update;
        TimePoint changedAt{};
        TimePoint heardAt{};
        bool heard = false; ///< Whether it ever sent this daemon a message.
        bool listed = false;
    };

    [[nodiscard]] bool setState(Entry &entry, MemberState state, TimePoint now);

    std::map<DaemonId, Entry> m_entries;
    bool m_listed = false; ///< Whether a VM list was applied before.
    bool m_changed = false;
};

} // namespace baobabtrail
