#include "core/membership/remote_members.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

constexpr Duration DeadRetention = 60s;
constexpr Duration ContactTimeout = 90s; ///< A daemon heard from within this time is not dead.
constexpr std::size_t MaxEntries = 8192;

} // namespace

bool RemoteMembers::setState(Entry &entry, MemberState state, TimePoint now)
{
    if (entry.update.state == state)
        return false;
    entry.update.state = state;
    entry.changedAt = now;
    m_changed = true;
    return true;
}

std::vector<DaemonId> RemoteMembers::applyVmList(const VmList &list, const std::string &ownDomain,
                                                 TimePoint now)
{
    std::vector<DaemonId> changed;
    for (auto &[id, entry] : m_entries)
        entry.listed = false;

    for (const DaemonId daemon : list.unreadable) {
        if (const auto known = m_entries.find(daemon); known != m_entries.end())
            known->second.listed = true;
    }
    for (const VmEntry &vm : list.vms) {
        if (vm.domain == ownDomain)
            continue;
        const auto [position, added] = m_entries.try_emplace(vm.daemon);
        Entry &entry = position->second;
        entry.listed = true;
        MemberUpdate &update = entry.update;
        const bool moved = update.address != vm.address || update.records != vm.records
                           || update.domain != vm.domain;
        if (added || moved) {
            update.daemon = vm.daemon;
            update.address = vm.address;
            update.records = vm.records;
            update.domain = vm.domain;
            entry.changedAt = now;
            m_changed = true;
        }
        const MemberState state = vm.leaving ? MemberState::Leaving : MemberState::Alive;
        if (setState(entry, state, now) || added || moved)
            changed.push_back(vm.daemon);
    }

    for (auto &[id, entry] : m_entries) {
        // The list lags: a daemon that sends messages is alive, listed or not.
        if (entry.listed || (entry.heard && now - entry.heardAt < ContactTimeout))
            continue;
        if (setState(entry, MemberState::Dead, now))
            changed.push_back(id);
    }
    if (!std::exchange(m_listed, true))
        changed.clear();
    return changed;
}

bool RemoteMembers::applyRumor(const MemberUpdate &update, TimePoint now)
{
    const auto known = m_entries.find(update.daemon);
    if (known == m_entries.end()) {
        if (update.state == MemberState::Dead || m_entries.size() >= MaxEntries)
            return false;
        m_entries.emplace(update.daemon, Entry{update, now, {}, false, false});
        m_changed = true;
        return true;
    }

    Entry &entry = known->second;
    if (update.incarnation < entry.update.incarnation)
        return false;
    // The VM list has no incarnations; learning one is not worth passing on.
    if (entry.update.incarnation.isNull())
        entry.update.incarnation = update.incarnation;
    const bool restarted = update.incarnation > entry.update.incarnation;
    if (!restarted) {
        entry.update.revision = std::max(entry.update.revision, update.revision);
        // Where two rumors of one process differ, the one with the later lifecycle state is newer.
        const auto rank = [](MemberState state) {
            return state == MemberState::Dead ? 2 : state == MemberState::Leaving ? 1 : 0;
        };
        if (rank(update.state) <= rank(entry.update.state))
            return false;
        const bool recentContact = entry.heard && now - entry.heardAt < ContactTimeout;
        if (update.state == MemberState::Dead && recentContact)
            return false;
        return setState(entry, update.state, now);
    }
    entry.update = update;
    entry.changedAt = now;
    m_changed = true;
    return true;
}

bool RemoteMembers::applyDirect(const MemberUpdate &update, TimePoint now)
{
    const auto [position, added] = m_entries.try_emplace(update.daemon);
    Entry &entry = position->second;
    if (!added && update.incarnation < entry.update.incarnation)
        return false;
    const MemberUpdate before = entry.update;
    entry.update = update;
    entry.heardAt = now;
    entry.heard = true;
    if (before.incarnation == update.incarnation)
        entry.update.revision = std::max(before.revision, update.revision);
    const bool changed = added || before.state != update.state || before.address != update.address
                         || before.records != update.records || before.domain != update.domain;
    if (changed) {
        entry.changedAt = now;
        m_changed = true;
    }
    return changed;
}

void RemoteMembers::raiseRevision(DaemonId id, Revision revision)
{
    const auto known = m_entries.find(id);
    if (known != m_entries.end())
        known->second.update.revision = std::max(known->second.update.revision, revision);
}

void RemoteMembers::eraseDead(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return entry.update.state == MemberState::Dead && now - entry.changedAt > DeadRetention;
    });
}

const MemberUpdate *RemoteMembers::find(DaemonId id) const
{
    const auto known = m_entries.find(id);
    return known == m_entries.end() ? nullptr : &known->second.update;
}

const MemberUpdate *RemoteMembers::at(std::size_t index) const
{
    const auto entry = std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(index));
    return entry->second.update.state == MemberState::Dead ? nullptr : &entry->second.update;
}

std::vector<const MemberUpdate *> RemoteMembers::present() const
{
    std::vector<const MemberUpdate *> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.update.state != MemberState::Dead)
            result.push_back(&entry.update);
    }
    return result;
}

std::map<std::string, std::vector<Member>> RemoteMembers::byDomain() const
{
    std::map<std::string, std::vector<Member>> result;
    for (const MemberUpdate *update : present()) {
        result[update->domain].push_back({update->daemon, update->incarnation, update->address,
                                          update->records, update->domain, update->state,
                                          update->revision});
    }
    return result;
}

bool RemoteMembers::takeChanged() noexcept
{
    return std::exchange(m_changed, false);
}

} // namespace baobabtrail
