#include "core/evidence/evidence_exchange.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Reports that wait to be sent; beyond these, each daemon finds failed targets alone.
constexpr std::size_t MaxPending = 8192;
/// Reports that a new neighbour is told, as datagrams in a row.
constexpr std::size_t MaxReportsForNewNeighbour = 400;

} // namespace

EvidenceExchange::EvidenceExchange(EvidenceSettings settings, EvidenceCallbacks callbacks,
                                   std::string_view domain, ReporterId self)
    : m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_domain(domainKey(domain))
    , m_self(self)
{
}

std::vector<EvidenceTable::Silence> EvidenceExchange::silences(TargetId target) const
{
    return m_table.silences(target, m_domain, m_callbacks.now());
}

bool EvidenceExchange::isReportedSilent(TargetId target) const
{
    return silences(target).size() >= m_settings.reporters;
}

// Where enough others have reported the target, one more report changes nothing.
bool EvidenceExchange::isDue(TargetId target,
                             const std::vector<EvidenceTable::Silence> &known) const
{
    const auto own = std::find_if(known.begin(), known.end(), [this](const auto &silence) {
        return silence.reporter == m_self;
    });
    if (own == known.end())
        return known.size() < EvidenceTable::MaxReporters;
    const auto lasts = m_lasts.find(target);
    return lasts == m_lasts.end() || own->endsAt - m_callbacks.now() < lasts->second / 2;
}

Duration EvidenceExchange::nextLasts(TargetId target)
{
    const auto [found, isFirst] = m_lasts.try_emplace(target, m_settings.firstLasts);
    if (!isFirst)
        found->second = std::min(2 * found->second, m_settings.maxLasts);
    return found->second;
}

void EvidenceExchange::observed(TargetId target, TargetSign sign)
{
    if (!m_settings.enabled)
        return;
    const std::vector<EvidenceTable::Silence> known = silences(target);
    EvidenceReport report{.target = target,
                          .reporter = m_self,
                          .domain = m_domain,
                          .sign = sign,
                          .lasts = m_settings.firstLasts};
    if (sign == TargetSign::Silent) {
        if (!isDue(target, known))
            return;
        report.lasts = nextLasts(target);
    } else {
        m_lasts.erase(target);
        if (known.empty())
            return;
    }
    report.sequence = ++m_sequence;
    if (!m_table.put(report, m_callbacks.now()))
        return;
    ++m_counts.made;
    enqueue(report, {});
    m_callbacks.changed(target);
}

bool EvidenceExchange::isCredible(const EvidenceReport &report) const
{
    return report.reporter != m_self && report.age >= Duration{0} && report.age < report.lasts
           && report.lasts <= m_settings.maxLasts;
}

void EvidenceExchange::handle(const Endpoint &from, const EvidenceMessage &message,
                              TimePoint receivedAt)
{
    if (!m_settings.enabled)
        return;
    const TimePoint now = m_callbacks.now();
    for (EvidenceReport report : message.reports) {
        report.age += now - receivedAt;
        const bool isOurs = report.domain == m_domain;
        const bool wasKnown = isOurs && !silences(report.target).empty();
        if (!isCredible(report) || !m_table.put(report, now)) {
            ++m_counts.known;
            continue;
        }
        ++m_counts.received;
        enqueue(report, from);
        if (!isOurs)
            continue;
        m_callbacks.changed(report.target);
        if (!wasKnown && report.sign == TargetSign::Silent)
            m_callbacks.firstReported(report.target);
    }
}

void EvidenceExchange::forget(TargetId target)
{
    m_lasts.erase(target);
    m_table.forget(target, m_domain, m_callbacks.now());
}

void EvidenceExchange::expire()
{
    for (const auto &[target, domain] : m_table.expire(m_callbacks.now())) {
        if (domain == m_domain)
            m_callbacks.changed(target);
    }
    std::erase_if(m_lasts, [this](const auto &item) { return silences(item.first).empty(); });
    const std::vector<TreeNeighbour> present = m_callbacks.neighbours();
    std::erase_if(m_neighbours, [&](const TreeNeighbour &known) {
        return std::find(present.begin(), present.end(), known) == present.end();
    });
    for (const TreeNeighbour &neighbour : present) {
        if (m_neighbours.insert(neighbour).second)
            send(neighbour.address, m_table.reports(MaxReportsForNewNeighbour, m_callbacks.now()));
    }
}

void EvidenceExchange::enqueue(const EvidenceReport &report, const Endpoint &from)
{
    if (m_pending.size() >= MaxPending)
        return;
    m_pending.push_back({report, m_callbacks.now(), from});
    scheduleFlush();
}

void EvidenceExchange::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true))
        return;
    m_callbacks.after(m_settings.batchDelay, [this, alive = std::weak_ptr{m_alive}] {
        if (alive.expired())
            return;
        m_flushScheduled = false;
        flush();
    });
}

// One datagram to each neighbour at a time: a failure of a whole domain must not fill the links.
void EvidenceExchange::flush()
{
    const TimePoint now = m_callbacks.now();
    const std::size_t count = std::min(m_pending.size(), m_settings.maxReports);
    for (const TreeNeighbour &neighbour : m_callbacks.neighbours()) {
        std::vector<EvidenceReport> reports;
        for (std::size_t index = 0; index < count; ++index) {
            const Pending &pending = m_pending[index];
            if (pending.from == neighbour.address)
                continue;
            EvidenceReport report = pending.report;
            report.age += now - pending.since;
            reports.push_back(report);
        }
        send(neighbour.address, std::move(reports));
    }
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(count));
    if (!m_pending.empty())
        scheduleFlush();
}

void EvidenceExchange::send(const Endpoint &to, std::vector<EvidenceReport> reports)
{
    m_counts.sent += reports.size();
    for (std::size_t begin = 0; begin < reports.size(); begin += m_settings.maxReports) {
        const std::size_t end = std::min(begin + m_settings.maxReports, reports.size());
        ++m_counts.messages;
        m_callbacks.send(to, {{reports.begin() + static_cast<std::ptrdiff_t>(begin),
                               reports.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
}

} // namespace baobabtrail
