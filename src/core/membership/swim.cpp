#include "core/membership/swim.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::size_t IndirectPings = 3;
constexpr std::uint64_t DeadPingTicks = 5; ///< Ticks between two pings of a member considered dead.
constexpr std::uint64_t SeedPingTicks = 5;
constexpr std::uint64_t ConnectedSeedPingTicks = 30;
constexpr std::uint64_t SeedPingsPerTick = 2; ///< Sent by all daemons of a domain together.
constexpr int PingsBeforeRemoval = 2;
constexpr std::size_t LeavePings = 8;
constexpr std::uint32_t FastCandidateTries = 3;
constexpr std::uint64_t SlowCandidateTicks = 10;

} // namespace

Swim::Swim(ControlContext &context, UpdateHandler onUpdate, Age configAge)
    : m_context(context)
    , m_onUpdate(std::move(onUpdate))
    , m_configAge(std::move(configAge))
{
    const NodeIdentity &identity = context.identity();
    m_self.daemon = identity.daemon;
    m_self.incarnation = identity.incarnation;
    m_self.address = identity.address;
    m_self.records = identity.records;
    m_self.domain = identity.domain;
}

void Swim::start()
{
    pingSeed();
    // Without the random delay, daemons that start together would ping in lockstep.
    const auto period = static_cast<std::size_t>(m_context.settings().pingPeriod.count());
    m_context.after(Duration{m_context.pick(period)}, [this] { tick(); });
}

void Swim::tick()
{
    m_context.after(m_context.settings().pingPeriod, [this] { tick(); });
    ++m_ticks;
    pingNext();
    pingSuspects();
    pingCandidate();
    if (m_ticks % DeadPingTicks == 0)
        pingDead();
    if (isSeedDue())
        pingSeed();
    m_table.eraseDead(m_context.now());
    m_remote.eraseDead(m_context.now());
}

// While the VM list can't be read, daemons of one domain that start together find only each other;
// seeds are then the only way to reach the other domains, which have the configuration. Seeds also
// reunite two groups of a domain after a partition.
bool Swim::isSeedDue() const
{
    if (!hasPeers())
        return true;
    const std::uint64_t ticks = m_remote.empty() ? SeedPingTicks : ConnectedSeedPingTicks;
    // All daemons share a few seeds: the larger the domain, the less often each daemon pings one.
    const std::uint64_t every = std::max<std::uint64_t>(ticks, memberCount() / SeedPingsPerTick);
    return m_ticks % every == m_self.daemon.value() % every;
}

// A shuffled round reaches every member within a bounded number of periods; independent random
// picks would not.
void Swim::pingNext()
{
    if (m_round.empty()) {
        for (const MemberEntry *entry : m_table.present())
            m_round.push_back(entry->update.daemon);
        for (std::size_t i = m_round.size(); i > 1; --i)
            std::swap(m_round[i - 1], m_round[m_context.pick(i)]);
    }
    while (!m_round.empty()) {
        const DaemonId id = m_round.back();
        m_round.pop_back();
        const MemberEntry *entry = m_table.find(id);
        if (entry && entry->update.state != MemberState::Dead)
            return pingMember(entry->update);
    }
}

// A suspected member is pinged until it refutes the suspicion or is removed. The ping carries the
// suspicion, so one that arrives is enough for a refutation, even with a fifth of all datagrams
// lost.
void Swim::pingSuspects()
{
    for (const MemberEntry *entry : m_table.present()) {
        if (entry->suspectedHere && entry->update.state == MemberState::Suspect)
            sendPing(entry->update.address, ++m_sequence, entry->update.daemon);
    }
}

// The VM list lags in both directions, so a listed VM becomes a member only once it answers.
void Swim::pingCandidate()
{
    std::vector<Candidate *> due;
    for (auto &[id, candidate] : m_candidates) {
        if (candidate.tries < FastCandidateTries || m_ticks % SlowCandidateTicks == 0)
            due.push_back(&candidate);
    }
    if (due.empty())
        return;
    Candidate &candidate = *due[m_context.pick(due.size())];
    ++candidate.tries;
    sendPing(candidate.vm.address, ++m_sequence, candidate.vm.daemon);
}

// After a partition heals, both sides consider each other dead; one of them has to send first.
void Swim::pingDead()
{
    const std::vector<const MemberEntry *> dead = m_table.dead();
    if (dead.empty())
        return;
    const MemberUpdate &member = dead[m_context.pick(dead.size())]->update;
    sendPing(member.address, ++m_sequence, member.daemon);
}

void Swim::pingSeed()
{
    const std::vector<Endpoint> &seeds = m_context.settings().seeds;
    if (seeds.empty())
        return;
    const Endpoint &seed = seeds[m_context.pick(seeds.size())];
    if (seed != m_self.address)
        sendPing(seed, ++m_sequence, DaemonId{});
}

void Swim::pingMember(const MemberUpdate &member)
{
    const std::uint64_t sequence = ++m_sequence;
    m_pending[sequence] = {member.daemon, m_context.now()};
    sendPing(member.address, sequence, member.daemon);
    m_context.after(m_context.settings().pingTimeout,
                    [this, sequence] { pingIndirectly(sequence); });
    m_context.after(m_context.settings().pingPeriod, [this, sequence] { onPingFailed(sequence); });
}

void Swim::sendPing(const Endpoint &address, std::uint64_t sequence, DaemonId recipient)
{
    m_context.send(address, Ping{sequence, updatesFor(recipient), m_configAge()});
}

// Neither a lost datagram nor a broken path between just two daemons may count as a failure.
void Swim::pingIndirectly(std::uint64_t sequence)
{
    const auto pending = m_pending.find(sequence);
    if (pending == m_pending.end())
        return;
    const MemberEntry *subject = m_table.find(pending->second.member);
    if (!subject)
        return;
    std::vector<const MemberUpdate *> helpers = peers();
    std::erase_if(helpers, [&](const MemberUpdate *helper) {
        return helper->daemon == subject->update.daemon;
    });
    for (std::size_t i = 0; i < IndirectPings && !helpers.empty(); ++i) {
        const std::size_t index = m_context.pick(helpers.size());
        const MemberUpdate *helper = helpers[index];
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
        m_context.send(helper->address, IndirectPing{sequence, subject->update.address, {m_self}});
    }
}

void Swim::onPingFailed(std::uint64_t sequence)
{
    const auto pending = m_pending.extract(sequence);
    if (!pending)
        return;
    MemberEntry *entry = m_table.find(pending.mapped().member);
    if (!entry || entry->update.state == MemberState::Dead)
        return;
    const TimePoint since = pending.mapped().sentAt + m_context.settings().pingTimeout;
    suspect(*entry, since);
}

void Swim::suspect(MemberEntry &entry, TimePoint since)
{
    if (entry.update.state == MemberState::Suspect || entry.suspectUntil > m_context.now())
        return;
    entry.suspectUntil = since + m_context.settings().suspicion;
    // A leaving member owns no targets any more; marking it suspect would give them back to it.
    if (entry.update.state == MemberState::Alive) {
        entry.update.state = MemberState::Suspect;
        entry.changedAt = m_context.now();
        entry.suspectedHere = true;
        m_rumors.add(entry.update.daemon);
        m_changed = true;
        sendPing(entry.update.address, ++m_sequence, entry.update.daemon);
    }
    scheduleRemoval(entry);
}

void Swim::scheduleRemoval(const MemberEntry &entry)
{
    const DaemonId id = entry.update.daemon;
    const Duration wait = std::max(entry.suspectUntil - m_context.now(), Duration{0});
    for (int ping = 1; ping <= PingsBeforeRemoval; ++ping) {
        const Duration before = wait - ping * m_context.settings().pingPeriod;
        if (before > Duration{0})
            m_context.after(before, [this, id] { pingBeforeRemoval(id); });
    }
    m_context.after(wait, [this, id] { removeIfStillSuspect(id); });
}

// A refutation may have missed only this daemon, so it pings the member once more before removal.
void Swim::pingBeforeRemoval(DaemonId id)
{
    const MemberEntry *entry = m_table.find(id);
    if (entry && entry->update.state == MemberState::Suspect)
        pingMember(entry->update);
}

void Swim::removeIfStillSuspect(DaemonId id)
{
    MemberEntry *entry = m_table.find(id);
    if (!entry || m_context.now() < entry->suspectUntil)
        return;
    const bool silentSinceLeaving
        = entry->update.state == MemberState::Leaving
          && entry->heardAt + m_context.settings().suspicion <= m_context.now();
    if (entry->update.state != MemberState::Suspect && !silentSinceLeaving)
        return;
    entry->update.state = MemberState::Dead;
    entry->changedAt = m_context.now();
    m_rumors.add(id);
    m_changed = true;
    m_context.notice(Severity::Warning, Part::Membership,
                     "Daemon " + std::to_string(id.value()) + " at "
                         + toString(entry->update.address) + " is considered dead");
}

void Swim::onStall()
{
    m_pending.clear();
    for (const MemberEntry *present : m_table.present()) {
        MemberEntry *entry = m_table.find(present->update.daemon);
        if (entry->update.state != MemberState::Suspect)
            continue;
        entry->suspectUntil = m_context.now() + m_context.settings().suspicion;
        scheduleRemoval(*entry);
    }
}

void Swim::receive(const PeerDatagram &datagram, const Endpoint &from)
{
    std::visit(
        [&](const auto &message) {
            if constexpr (requires { on(message, datagram, from); })
                on(message, datagram, from);
        },
        datagram.body);
}

void Swim::on(const Ping &ping, const PeerDatagram &datagram, const Endpoint &from)
{
    applyUpdates(ping.updates, datagram.from, ping.configAge);
    m_context.send(from, PingAck{ping.sequence, updatesFor(datagram.from), m_configAge()});
}

void Swim::on(const IndirectPing &ping, const PeerDatagram &datagram, const Endpoint &from)
{
    applyUpdates(ping.updates, datagram.from, std::nullopt);
    const std::uint64_t sequence = ++m_sequence;
    m_relays[sequence] = {from, ping.sequence};
    m_context.after(m_context.settings().pingPeriod,
                    [this, sequence] { m_relays.erase(sequence); });
    sendPing(ping.subject, sequence, DaemonId{});
}

void Swim::on(const PingAck &ack, const PeerDatagram &datagram, const Endpoint &)
{
    applyUpdates(ack.updates, datagram.from, ack.configAge);
    m_pending.erase(ack.sequence);
    const auto relay = m_relays.extract(ack.sequence);
    if (!relay)
        return;
    std::vector<MemberUpdate> updates{m_self};
    if (const MemberUpdate *subject = lookUp(datagram.from))
        updates.push_back(*subject);
    m_context.send(relay.mapped().requester,
                   PingAck{relay.mapped().sequence, std::move(updates), std::nullopt});
}

void Swim::announceLeave()
{
    if (isLeaving())
        return;
    m_self.state = MemberState::Leaving;
    ++m_self.version;
    m_changed = true;
    std::vector<const MemberUpdate *> others = peers();
    for (std::size_t i = 0; i < LeavePings && !others.empty(); ++i) {
        const std::size_t index = m_context.pick(others.size());
        sendPing(others[index]->address, ++m_sequence, others[index]->daemon);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Swim::setRevision(Revision revision)
{
    m_self.revision = revision;
}

void Swim::raiseRevision(DaemonId id, Revision revision)
{
    if (MemberEntry *entry = m_table.find(id)) {
        entry->update.revision = std::max(entry->update.revision, revision);
        return;
    }
    m_remote.raiseRevision(id, revision);
}

void Swim::pingRemote()
{
    const std::map<std::string, std::vector<Member>> domains = m_remote.byDomain();
    if (domains.empty())
        return;
    const auto domain = std::next(
        domains.begin(), static_cast<std::ptrdiff_t>(m_nextRemoteDomain++ % domains.size()));
    const std::vector<Member> &members = domain->second;
    const Member &member = members[m_context.pick(members.size())];
    m_context.send(member.address, Ping{++m_sequence, {m_self}, m_configAge()});
}

} // namespace baobabtrail
