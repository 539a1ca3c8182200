#include "core/control/peer_fetcher.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxSources = 8;

} // namespace

void PeerFetcher::heard(Revision revision, const Endpoint &records)
{
    if (revision <= m_log.revision() || records.isNull())
        return;
    const auto known = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source &source) {
        return source.records == records;
    });
    if (known != m_sources.end())
        known->revision = std::max(known->revision, revision);
    else if (m_sources.size() < MaxSources)
        m_sources.push_back({records, revision});
    if (!m_fetching)
        fetchNext();
}

void PeerFetcher::fetchNext()
{
    std::erase_if(m_sources,
                  [&](const Source &source) { return source.revision <= m_log.revision(); });
    if (m_sources.empty())
        return;
    m_fetching = true;
    const Endpoint source = m_sources[m_context.pick(m_sources.size())].records;
    FetchRecords request;
    request.after = m_log.revision();
    m_context.fetch(source, request, [this, source](const std::optional<RecordsMessage> &message) {
        onReply(source, message);
    });
}

void PeerFetcher::onReply(const Endpoint &source, const std::optional<RecordsMessage> &message)
{
    m_fetching = false;
    const Revision before = m_log.revision();
    if (const auto *records = message ? std::get_if<Records>(&*message) : nullptr)
        take(*records);
    // Without progress, asking the same peer again would go on forever.
    if (m_log.revision() == before)
        drop(source);
    fetchNext();
}

void PeerFetcher::take(const Records &records)
{
    if (!records.snapshotShards.empty()) {
        if (const auto finding = m_log.install(records.snapshotShards))
            m_context.notice(Severity::Warning, Part::Distribution,
                             "A peer sent a snapshot that is not usable: " + toString(*finding));
    }
    for (const std::string &text : records.records) {
        const Revision next{m_log.revision().value() + 1};
        if (std::holds_alternative<RecordBad>(m_reader.append(next, text)))
            return;
    }
}

void PeerFetcher::drop(const Endpoint &source)
{
    std::erase_if(m_sources, [&](const Source &known) { return known.records == source; });
}

} // namespace baobabtrail
