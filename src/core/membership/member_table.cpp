#include "core/membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace baobabtrail {

namespace {

/// Dead members are retained because a rumor that they are alive can circulate for a while, and
/// because a member that was only partitioned is still pinged now and then, which needs its
/// address.
constexpr Duration DeadRetention = 10min;

[[nodiscard]] int precedence(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 0;
}

} // namespace

bool isNewer(const MemberUpdate &update, const MemberUpdate &known) noexcept
{
    const auto order = [](const MemberUpdate &value) {
        return std::tuple{value.incarnation, value.version, precedence(value.state)};
    };
    return order(update) > order(known);
}

MemberTable::Merge MemberTable::merge(const MemberUpdate &update, TimePoint now)
{
    const auto [position, added] = m_entries.try_emplace(update.daemon);
    MemberEntry &entry = position->second;
    if (added || isNewer(update, entry.update)) {
        const bool sameProcess = !added && entry.update.incarnation == update.incarnation;
        const Revision revision
            = sameProcess ? std::max(entry.update.revision, update.revision) : update.revision;
        entry.update = update;
        entry.update.revision = revision;
        entry.changedAt = now;
        entry.suspectUntil = TimePoint{};
        entry.suspectedHere = false;
        return Merge::Newer;
    }
    // Updates may arrive out of order, but a process never goes back to an older revision.
    if (entry.update.incarnation == update.incarnation)
        entry.update.revision = std::max(entry.update.revision, update.revision);
    return Merge::Unchanged;
}

void MemberTable::eraseDead(TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const MemberEntry &entry = item.second;
        return entry.update.state == MemberState::Dead && now - entry.changedAt > DeadRetention;
    });
}

MemberEntry *MemberTable::find(DaemonId id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const MemberEntry *> MemberTable::present() const
{
    std::vector<const MemberEntry *> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.update.state != MemberState::Dead)
            result.push_back(&entry);
    }
    return result;
}

std::vector<const MemberEntry *> MemberTable::dead() const
{
    std::vector<const MemberEntry *> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.update.state == MemberState::Dead)
            result.push_back(&entry);
    }
    return result;
}

std::size_t MemberTable::presentCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &item) {
            return item.second.update.state != MemberState::Dead;
        }));
}

Member toMember(const MemberUpdate &update)
{
    return {update.daemon, update.incarnation, update.address, update.records,
            update.domain, update.state,       update.revision};
}

} // namespace baobabtrail
