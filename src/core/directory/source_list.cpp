#include "core/directory/source_list.h"

#include <algorithm>

namespace baobabtrail {

namespace {

/// Sources that other daemons have named are kept up to this many; the oldest goes first.
constexpr std::size_t MaxSources = 12;
/// A source of the own failure domain that had no place is not preferred for so long: hundreds that
/// have found places elsewhere would ask its root again and again.
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
    // Each begins at another one: else the first would send nearly all of them on to its followers.
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

// The one that answered last goes on, unless one of the own domain may have a place. One that is
// not known to be near is no reason to leave: daemons that went through all names they had heard of
// took places everywhere and stayed nowhere.
int SourceList::rank(const Source &source, const Endpoint &last, TimePoint now) const
{
    const bool isLast = source.address == last;
    const bool full = source.redirectedAt && now - *source.redirectedAt < RedirectedPenalty;
    if (source.staleAt && now - *source.staleAt < m_retryStaleAfter)
        return 5; // It knows no more yet; those that it named wait with it.
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
        // Of equals the one that was named last: it is further down, where seats are free.
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

// One that is known keeps what is known of it: two daemons that send this one on to each other
// would else have it ask as fast as the network goes.
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
