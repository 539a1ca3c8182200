#include "core/control/peer_fetcher.h"

#include <algorithm>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxSources = 8;
constexpr std::size_t MaxOpenFetches = 3;
constexpr Duration HedgeDelay = 300ms;

} // namespace

void PeerFetcher::onPeerRevision(Revision revision, const Endpoint &records)
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
    if (m_openFetches == 0)
        fetchNext();
}

void PeerFetcher::fetchNext()
{
    std::erase_if(m_sources,
                  [&](const Source &source) { return source.revision <= m_log.revision(); });
    std::vector<Source *> usable;
    for (Source &source : m_sources) {
        if (!source.fetching)
            usable.push_back(&source);
    }
    if (usable.empty())
        return;
    Source &chosen = *usable[m_context.pick(usable.size())];
    chosen.fetching = true;
    ++m_openFetches;
    const std::uint64_t fetch = ++m_lastFetchId;
    m_context.after(HedgeDelay, [this, fetch] { hedgeSlowFetch(fetch); });
    FetchRecords request;
    request.after = m_log.revision();
    m_context.fetch(chosen.records, request,
                    [this, source = chosen.records,
                     after = request.after](const std::optional<RecordsMessage> &message) {
                        onReply(source, after, message);
                    });
}

void PeerFetcher::hedgeSlowFetch(std::uint64_t fetch)
{
    const bool stillInFlight = m_openFetches > 0 && fetch == m_lastFetchId;
    if (stillInFlight && m_openFetches < MaxOpenFetches)
        fetchNext();
}

void PeerFetcher::onReply(const Endpoint &source, Revision after,
                          const std::optional<RecordsMessage> &message)
{
    --m_openFetches;
    const Revision before = m_log.revision();
    if (const auto *records = message ? std::get_if<Records>(&*message) : nullptr)
        applyRecords(*records, after);
    // Without progress, fetching from the same peer again would loop forever.
    if (m_log.revision() == before)
        dropSource(source);
    for (Source &known : m_sources) {
        if (known.records == source)
            known.fetching = false;
    }
    if (m_openFetches == 0)
        fetchNext();
}

// Records are numbered from the revision that was requested: the log may have grown since.
void PeerFetcher::applyRecords(const Records &records, Revision after)
{
    Revision last = after;
    if (!records.snapshotShards.empty()) {
        last = records.snapshotRevision;
        if (const auto finding = m_log.install(records.snapshotShards))
            m_context.notice(Severity::Warning, Part::Distribution,
                             "A peer sent an unusable snapshot: " + toString(*finding));
    }
    for (const std::string &text : records.records) {
        last = Revision{last.value() + 1};
        if (std::holds_alternative<RecordInvalid>(m_reader.append(last, text)))
            return;
    }
}

void PeerFetcher::dropSource(const Endpoint &source)
{
    std::erase_if(m_sources, [&](const Source &known) { return known.records == source; });
}

} // namespace baobabtrail
