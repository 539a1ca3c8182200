#include "core/evidence/evidence_table.h"

#include "core/impl/hash.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Bound on the memory, at about 200 bytes each; targets beyond it are found by each daemon alone.
constexpr std::size_t MaxEntries = 8192;
/// A restart is remembered for longer than a report may be under way.
constexpr Duration RestartKeptFor = 60s;

} // namespace

DomainKey domainKey(std::string_view domain) noexcept
{
    return DomainKey{static_cast<std::uint32_t>(impl::hash64(domain))};
}

bool EvidenceTable::put(const EvidenceReport &report, TimePoint now)
{
    const Key key{report.target, report.domain};
    auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        if (report.sign == TargetSign::Alive || m_entries.size() >= MaxEntries)
            return false;
        found = m_entries.try_emplace(key).first;
    }
    Entry &entry = found->second;
    const TimePoint observedAt = now - report.age;
    const bool isNew = report.sign == TargetSign::Alive ? putAlive(entry, observedAt)
                                                        : putSilent(entry, report, now);
    entry.keptUntil = std::max(entry.keptUntil, observedAt + report.lasts);
    return isNew;
}

bool EvidenceTable::putAlive(Entry &entry, TimePoint observedAt)
{
    entry.aliveAt = std::max(entry.aliveAt.value_or(observedAt), observedAt);
    return std::erase_if(entry.silences,
                         [&](const Silence &each) { return each.observedAt <= *entry.aliveAt; })
           > 0;
}

bool EvidenceTable::putSilent(Entry &entry, const EvidenceReport &report, TimePoint now)
{
    const TimePoint observedAt = now - report.age;
    if (entry.aliveAt && observedAt <= *entry.aliveAt)
        return false;
    const Silence silence{report.reporter, report.sequence, observedAt, observedAt + report.lasts};
    std::erase_if(entry.silences, [now](const Silence &each) { return now >= each.endsAt; });
    for (Silence &known : entry.silences) {
        if (known.reporter != report.reporter)
            continue;
        if (report.sequence <= known.sequence)
            return false;
        known = silence;
        return true;
    }
    if (entry.silences.size() >= MaxReporters)
        return false;
    entry.silences.push_back(silence);
    return true;
}

std::vector<EvidenceTable::Silence> EvidenceTable::silences(TargetId target, DomainKey domain,
                                                            TimePoint now) const
{
    std::vector<Silence> out;
    const auto found = m_entries.find({target, domain});
    if (found == m_entries.end())
        return out;
    for (const Silence &each : found->second.silences) {
        if (now < each.endsAt)
            out.push_back(each);
    }
    return out;
}

void EvidenceTable::forget(TargetId target, DomainKey domain, TimePoint now)
{
    if (m_entries.size() >= MaxEntries && !m_entries.contains({target, domain}))
        return;
    Entry &entry = m_entries[{target, domain}];
    entry.silences.clear();
    entry.aliveAt = now;
    entry.keptUntil = now + RestartKeptFor;
}

std::vector<std::pair<TargetId, DomainKey>> EvidenceTable::expire(TimePoint now)
{
    std::vector<std::pair<TargetId, DomainKey>> ended;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        Entry &entry = it->second;
        if (std::erase_if(entry.silences, [now](const Silence &each) { return now >= each.endsAt; })
            > 0)
            ended.emplace_back(it->first.target, it->first.domain);
        if (now < entry.keptUntil)
            ++it;
        else
            it = m_entries.erase(it);
    }
    return ended;
}

std::vector<EvidenceReport> EvidenceTable::reports(std::size_t count, TimePoint now) const
{
    std::vector<EvidenceReport> out;
    for (const auto &[key, entry] : m_entries) {
        for (const Silence &each : entry.silences) {
            if (out.size() == count)
                return out;
            if (now < each.endsAt)
                out.push_back({key.target, each.reporter, key.domain, each.sequence,
                               TargetSign::Silent, now - each.observedAt,
                               each.endsAt - each.observedAt});
        }
    }
    return out;
}

} // namespace baobabtrail
