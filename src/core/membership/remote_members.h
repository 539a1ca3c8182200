#pragma once

#include "core/membership/view.h"
#include "core/messages/peer.h"
#include "core/messages/platform.h"
#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace baobabtrail {

/// \brief Daemons of other failure domains, from the VM list and from what peers pass on.
///
/// Nobody here pings all of them: the list of 630 is kept by news of what changes. It may be out
/// of date; it serves to reach some daemon of a domain and to balance.
class RemoteMembers
{
public:
    /// \brief Takes the VM list. \return News to pass on; none for the first list, which every
    /// daemon reads for itself when it starts.
    [[nodiscard]] std::vector<DaemonId> applyVmList(const std::vector<VmEntry> &vms,
                                                    const std::string &ownDomain, TimePoint now);
    /// \brief Takes what another daemon passed on. \return Whether it is news to pass on.
    [[nodiscard]] bool applyRumor(const MemberUpdate &update, TimePoint now);
    /// \brief Takes what a daemon said of itself. \return Whether it is news to pass on.
    [[nodiscard]] bool applyDirect(const MemberUpdate &update, TimePoint now);
    /// \brief Raises the revision that is known to be in force at a daemon.
    void raiseRevision(DaemonId id, Revision revision);
    void eraseDead(TimePoint now);

    [[nodiscard]] const MemberUpdate *find(DaemonId id) const;
    [[nodiscard]] std::vector<const MemberUpdate *> present() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }
    /// \return The entry at \a index in the order of ids, or null where it is dead.
    [[nodiscard]] const MemberUpdate *at(std::size_t index) const;
    [[nodiscard]] std::map<std::string, std::vector<Member>> byDomain() const;
    /// \return Whether anything but a revision changed since the last call.
    [[nodiscard]] bool takeChanged() noexcept;

private:
    struct Entry
    {
        MemberUpdate update;
        TimePoint changedAt{};
        TimePoint heardAt{};
        bool heard = false; ///< Whether it ever spoke to us.
        bool listed = false;
    };

    [[nodiscard]] bool setState(Entry &entry, MemberState state, TimePoint now);

    std::map<DaemonId, Entry> m_entries;
    bool m_listed = false; ///< Whether a VM list was taken before.
    bool m_changed = false;
};

} // namespace baobabtrail
