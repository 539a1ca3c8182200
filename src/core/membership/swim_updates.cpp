// The part of Swim that applies and composes member updates.

#include "core/membership/swim.h"

#include "core/membership/watchers.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxUpdates = 8; ///< Per ping, the sender's own included.
constexpr Duration LeavingHintTimeout = 60s;

} // namespace

void Swim::applyUpdates(const std::vector<MemberUpdate> &updates, DaemonId sender,
                        std::optional<Duration> age)
{
    for (const MemberUpdate &update : updates) {
        if (update.daemon == m_self.daemon)
            applyUpdateOfSelf(update);
        else if (update.daemon == sender)
            applyDirect(update, age);
        else
            applyRumor(update, true);
    }
}

void Swim::applyDirect(const MemberUpdate &update, std::optional<Duration> age)
{
    if (update.domain != m_self.domain) {
        if (m_remote.applyDirect(update, m_context.now()))
            m_rumors.add(update.daemon);
        m_onUpdate(update, age);
        return;
    }
    applyRumor(update, true);
    if (MemberEntry *entry = m_table.find(update.daemon)) {
        entry->heardAt = m_context.now();
        fetchMembers(update);
    }
    m_onUpdate(update, age);
}

void Swim::applyRumor(const MemberUpdate &update, bool passOn)
{
    if (update.domain != m_self.domain) {
        if (m_remote.applyRumor(update, m_context.now()) && passOn)
            m_rumors.add(update.daemon);
        return;
    }
    // The death of an unknown daemon is ignored: its entry would only be retained for long.
    if (update.state == MemberState::Dead && !m_table.find(update.daemon))
        return;
    if (m_table.merge(update, m_context.now()) == MemberTable::Merge::Unchanged)
        return;
    m_candidates.erase(update.daemon);
    m_changed = true;
    if (passOn)
        m_rumors.add(update.daemon);
    if (update.state != MemberState::Suspect)
        return;
    MemberEntry &entry = *m_table.find(update.daemon);
    entry.suspectUntil = m_context.now() + m_context.settings().suspicion;
    scheduleRemoval(entry);
}

void Swim::applyUpdateOfSelf(const MemberUpdate &update)
{
    if (update.incarnation > m_self.incarnation) {
        m_context.notice(Severity::Error, Part::Membership, "Another daemon uses this daemon's id");
        return;
    }
    if (update.incarnation < m_self.incarnation || update.version < m_self.version)
        return;
    const bool wrong = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (wrong)
        return refute(update.version);
    if (update.state != MemberState::Leaving || isLeaving())
        return;
    // The VM list reports that this VM is leaving. The list lags, so this may be wrong: the hint is
    // honoured for a while and then refuted. If it were refuted at once, hint and refutation would
    // alternate forever.
    const TimePoint now = m_context.now();
    if (!m_leavingHintRefutedAt)
        m_leavingHintRefutedAt = now;
    if (now - *m_leavingHintRefutedAt < LeavingHintTimeout)
        return;
    m_leavingHintRefutedAt = now;
    refute(update.version);
}

void Swim::refute(std::uint32_t version)
{
    m_self.version = version + 1;
}

// A daemon that has just started knows no members: one answer that lists all is far cheaper than
// learning each from pings.
void Swim::fetchMembers(const MemberUpdate &peer)
{
    if (m_membersFetched || m_fetchingMembers)
        return;
    m_fetchingMembers = true;
    m_context.fetch(peer.records, FetchStatus{}, [this](const auto &message) {
        m_fetchingMembers = false;
        const auto *status = message ? std::get_if<DomainStatus>(&*message) : nullptr;
        if (!status)
            return;
        m_membersFetched = true;
        applyStatus(*status);
    });
}

void Swim::applyStatus(const DomainStatus &status)
{
    for (const MemberUpdate &update : status.members) {
        if (update.daemon != m_self.daemon)
            applyRumor(update, false);
    }
}

void Swim::applyVmList(const VmList &list)
{
    for (const DaemonId id : m_remote.applyVmList(list, m_self.domain, m_context.now()))
        m_rumors.add(id);

    std::map<DaemonId, Candidate> candidates;
    for (const VmEntry &vm : list.vms) {
        if (vm.domain != m_self.domain || vm.daemon == m_self.daemon)
            continue;
        const MemberEntry *entry = m_table.find(vm.daemon);
        if (!entry) {
            const auto known = m_candidates.find(vm.daemon);
            candidates[vm.daemon] = {vm, known == m_candidates.end() ? 0 : known->second.tries};
            continue;
        }
        if (!vm.leaving || entry->update.state != MemberState::Alive)
            continue;
        MemberUpdate hint = entry->update;
        hint.state = MemberState::Leaving;
        applyRumor(hint, true);
    }
    m_candidates = std::move(candidates);
}

std::vector<MemberUpdate> Swim::updatesFor(DaemonId recipient)
{
    std::vector<MemberUpdate> updates{m_self};
    if (m_remote.find(recipient))
        return updates;
    // A member that is wrongly considered dead or suspect has to be told in order to refute it.
    const MemberEntry *entry = m_table.find(recipient);
    if (entry && entry->update.state != MemberState::Alive)
        updates.push_back(entry->update);
    const std::size_t room = MaxUpdates - updates.size();
    for (const DaemonId id : m_rumors.take(room, memberCount())) {
        const MemberUpdate *update = lookUp(id);
        if (update && id != recipient)
            updates.push_back(*update);
    }
    if (updates.size() < MaxUpdates)
        addRandomMember(updates);
    return updates;
}

// Rumors can miss a daemon. One random entry on each ping makes the views converge eventually.
void Swim::addRandomMember(std::vector<MemberUpdate> &updates)
{
    const std::map<DaemonId, MemberEntry> &members = m_table.entries();
    const std::size_t count = members.size() + m_remote.size();
    if (count == 0)
        return;
    const std::size_t index = m_context.pick(count);
    const MemberUpdate *update = nullptr;
    if (index < members.size())
        update = &std::next(members.begin(), static_cast<std::ptrdiff_t>(index))->second.update;
    else
        update = m_remote.at(index - members.size());
    if (update && update->state != MemberState::Dead)
        updates.push_back(*update);
}

const MemberUpdate *Swim::lookUp(DaemonId id)
{
    if (const MemberEntry *entry = m_table.find(id))
        return &entry->update;
    return m_remote.find(id);
}

View Swim::view() const
{
    View view;
    view.self = m_self.daemon;
    view.domain = m_self.domain;
    view.members.push_back(toMember(m_self));
    for (const MemberEntry *entry : m_table.present())
        view.members.push_back(toMember(entry->update));
    std::sort(view.members.begin(), view.members.end(),
              [](const Member &a, const Member &b) { return a.id < b.id; });
    view.remote = m_remote.byDomain();
    return view;
}

bool Swim::takeChanged()
{
    const bool remoteChanged = m_remote.takeChanged();
    return std::exchange(m_changed, false) || remoteChanged;
}

std::optional<std::size_t> Swim::watcherRank() const
{
    std::vector<Member> members{toMember(m_self)};
    for (const auto &[id, entry] : m_table.entries()) {
        if (entry.update.state != MemberState::Dead)
            members.push_back(toMember(entry.update));
    }
    return baobabtrail::watcherRank(m_self.domain, members, m_context.settings().watchersPerDomain,
                                    m_self.daemon);
}

std::vector<MemberUpdate> Swim::statusMembers() const
{
    std::vector<MemberUpdate> members{m_self};
    for (const MemberEntry *entry : m_table.present())
        members.push_back(entry->update);
    return members;
}

bool Swim::hasPeers() const
{
    return memberCount() > 1;
}

std::size_t Swim::memberCount() const
{
    return m_table.presentCount() + 1;
}

std::vector<const MemberUpdate *> Swim::peers() const
{
    std::vector<const MemberUpdate *> result;
    for (const MemberEntry *entry : m_table.present())
        result.push_back(&entry->update);
    return result;
}

} // namespace baobabtrail
