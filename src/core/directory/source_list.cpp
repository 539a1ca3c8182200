#include "core/directory/source_list.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Bound of the list; beyond it the oldest source named by another daemon is evicted.
constexpr std::size_t MaxSources = 12;
/// A source of the local failure domain that had no follower slot is not preferred for this long:
/// hundreds of daemons that have found slots elsewhere would query their domain's root over and
/// over.
constexpr Duration RedirectedPenalty = 5min;

} // namespace

void SourceList::reset(const std::vector<Endpoint> &roots, const Endpoint &own)
{
    m_sources.clear();
    for (const Endpoint &root : roots) {
        if (root == own)
            continue;
        m_sources.emplace_back();
        m_sources.back().address = root;
    }
    // Each daemon begins at another root: otherwise the first one would redirect nearly all of them
    // to its followers.
    if (m_sources.empty())
        return;
    const std::size_t first = hash_value(own) % m_sources.size();
    std::rotate(m_sources.begin(), m_sources.begin() + static_cast<std::ptrdiff_t>(first),
                m_sources.end());
}

Source *SourceList::find(const Endpoint &address)
{
    const auto found = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source &source) {
        return source.address == address;
    });
    return found == m_sources.end() ? nullptr : &*found;
}

// The source that answered last is kept, unless one of the local domain may have a follower slot. A
// source that is not known to be local is no reason to switch: daemons that tried every name they
// learned took slots everywhere and stayed nowhere.
int SourceList::rank(const Source &source, const Endpoint &last, TimePoint now) const
{
    const bool isLast = source.address == last;
    const bool full = source.redirectedAt && now - *source.redirectedAt < RedirectedPenalty;
    if (source.staleAt && now - *source.staleAt < m_retryStaleAfter)
        return 5; // It has nothing newer yet; its followers wait with it.
    if (source.domain == m_domain && !full)
        return isLast ? 0 : 1;
    if (isLast)
        return 2;
    return source.domain ? 4 : 3;
}

Source *SourceList::choose(const Endpoint &last, TimePoint now)
{
    Source *best = nullptr;
    for (Source &source : m_sources) {
        if (failedRecently(source, now))
            continue;
        // Of equals the one named last: it is further down the tree, where follower slots are free.
        if (!best || rank(source, last, now) <= rank(*best, last, now))
            best = &source;
    }
    return best;
}

Source *SourceList::untriedRoot(TimePoint now)
{
    const auto found = std::find_if(m_sources.begin(), m_sources.end(), [&](const Source &each) {
        const bool seen = each.staleAt && now - *each.staleAt < m_retryStaleAfter;
        return !failedRecently(each, now) && !seen;
    });
    return found == m_sources.end() ? nullptr : &*found;
}

std::vector<Endpoint> SourceList::roots() const
{
    std::vector<Endpoint> out;
    for (const Source &source : m_sources) {
        if (source.root)
            out.push_back(source.address);
    }
    return out;
}

// What is known of a known source is retained: two daemons that redirect this one to each other
// would otherwise make it query as fast as the network allows.
void SourceList::add(const PeerReferral &named)
{
    if (find(named.address))
        return;
    const auto oldest = std::find_if(m_sources.begin(), m_sources.end(),
                                     [](const Source &source) { return !source.root; });
    if (m_sources.size() >= MaxSources && oldest != m_sources.end())
        m_sources.erase(oldest);
    Source source;
    source.address = named.address;
    source.domain = named.domain;
    source.root = false;
    m_sources.push_back(std::move(source));
}

void SourceList::eraseReferred()
{
    std::erase_if(m_sources, [](const Source &each) { return !each.root; });
}

void SourceList::clearFailures()
{
    for (Source &source : m_sources)
        source.failedAt.reset();
}

bool SourceList::allFailed() const
{
    return std::all_of(m_sources.begin(), m_sources.end(),
                       [](const Source &source) { return source.failedAt.has_value(); });
}

} // namespace baobabtrail
