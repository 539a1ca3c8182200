#include "core/directory/view_relay.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// A daemon that was redirected to its local root and returns within this time has not tried it in
/// vain: a query without an answer takes 400 ms.
constexpr Duration LocalRootTryTime = 300ms;
/// Daemons that are named to a redirected one.
constexpr std::size_t MaxReferrals = 3;
/// An overflow ends when no daemon was redirected for this long.
constexpr Duration OverflowEndsAfter = 5s;
/// A complete copy is used again for this long: daemons that start together ask within it. What it
/// says of the store's return may be late by as much.
constexpr Duration WholeCopyTime = 1s;
/// A return of the store is reported for this long: lapsed targets are back, or gone, within three
/// seconds, and news may be two seconds old.
constexpr Duration ReturnReportedFor = 10s;

} // namespace

ViewRelay::ViewRelay(std::string domain, RelaySettings settings, Callbacks callbacks)
    : m_domain(std::move(domain))
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
{
}

bool ViewRelay::complete(const PeerQuery &query) const
{
    return std::all_of(
        query.collections.begin(), query.collections.end(),
        [this](const CollectionQuery &each) { return m_copies.at(each.prefix)->complete(); });
}

std::optional<Duration> ViewRelay::ageOf(const PeerQuery &query) const
{
    Duration oldest{0};
    for (const CollectionQuery &each : query.collections) {
        if (!m_copies.at(each.prefix)->confirmedByAge())
            continue;
        const auto confirmed = m_copies.at(each.prefix)->confirmedAt();
        if (!confirmed)
            return std::nullopt;
        oldest = std::max(oldest, m_callbacks.now() - *confirmed);
    }
    return oldest;
}

std::optional<Duration> ViewRelay::sinceStoreReturn(const CollectionCopy &copy) const
{
    const auto returned = copy.storeReturnedAt();
    if (!returned || m_callbacks.now() - *returned > ReturnReportedFor)
        return std::nullopt;
    return m_callbacks.now() - *returned;
}

void ViewRelay::handle(const PeerQuery &query, Reply reply)
{
    const bool known = std::all_of(
        query.collections.begin(), query.collections.end(),
        [this](const CollectionQuery &each) { return m_copies.contains(each.prefix); });
    if (!known || query.collections.empty()) {
        reply(std::nullopt);
        return;
    }
    if (!complete(query)) {
        handleEmpty(query, std::move(reply));
        return;
    }
    const auto age = ageOf(query);
    if (!age) {
        reply(std::nullopt);
        return;
    }
    const bool stale = *age > m_settings.staleAfter;
    if (stale && query.age && *query.age <= m_settings.staleAfter)
        m_callbacks.fresher(query.querier);
    if (!query.oneShot && redirectIfFull(query, false, reply))
        return;
    if (hasNewer(query) || query.wait <= Duration{0})
        reply(answer(query));
    else
        enqueue(query, std::move(reply));
}

bool ViewRelay::hasNewer(const PeerQuery &query) const
{
    if (query.lacksCopy())
        return true;
    // Otherwise a query that arrives just after the others were notified would learn of the
    // heartbeat a whole wait later, at each hop.
    const Lineage lineage = m_callbacks.lineage();
    if (!lineage.origin.isNull() && lineage.origin == query.origin
        && lineage.heartbeat >= query.heartbeat + MinHeartbeatAdvance)
        return true;
    return std::any_of(query.collections.begin(), query.collections.end(),
                       [this](const CollectionQuery &each) {
                           return m_copies.at(each.prefix)->changedSince(each.after);
                       });
}

// Where all daemons start at once, those that query take follower slots before there is anything to
// answer, and wait: if they were sent away, hundreds would return over and over.
void ViewRelay::handleEmpty(const PeerQuery &query, Reply reply)
{
    if (!query.lacksCopy()) {
        m_callbacks.fresher(query.querier);
        reply(std::nullopt);
        return;
    }
    if (query.oneShot) {
        reply(std::nullopt);
        return;
    }
    if (!redirectIfFull(query, true, reply))
        enqueue(query, std::move(reply));
}

bool ViewRelay::redirectIfFull(const PeerQuery &query, bool isEmpty, const Reply &reply)
{
    std::vector<PeerReferral> elsewhere = referralsFor(query);
    if (elsewhere.empty())
        return false;
    countRedirect();
    PeerAnswer answer;
    answer.domain = m_domain;
    answer.isEmpty = isEmpty;
    answer.redirect = std::move(elsewhere);
    reply(std::move(answer));
    return true;
}

void ViewRelay::countRedirect()
{
    ++m_redirected;
    m_lastRedirectAt = m_callbacks.now();
    if (m_overflowSince)
        return;
    m_overflowSince = m_lastRedirectAt;
    m_redirectedBefore = m_redirected - 1;
    if (m_callbacks.overflow)
        m_callbacks.overflow({false, 0, Duration{0}, followers()});
}

void ViewRelay::expire()
{
    if (m_whole.copy && m_callbacks.now() - m_whole.madeAt >= WholeCopyTime)
        m_whole = {};
    if (!m_overflowSince || m_callbacks.now() - m_lastRedirectAt < OverflowEndsAfter)
        return;
    const FollowerOverflow ended{true, m_redirected - m_redirectedBefore,
                                 m_lastRedirectAt - *m_overflowSince, followers()};
    m_overflowSince.reset();
    if (m_callbacks.overflow)
        m_callbacks.overflow(ended);
}

void ViewRelay::enqueue(const PeerQuery &query, Reply reply)
{
    const std::uint64_t id = ++m_lastId;
    m_waiting.push_back({id, query, std::move(reply)});
    m_callbacks.after(std::min(query.wait, m_settings.maxWait),
                      [this, id, alive = std::weak_ptr{m_alive}] {
                          if (!alive.expired())
                              timeOut(id);
                      });
}

std::optional<PeerReferral> ViewRelay::rootIn(const std::string &domain) const
{
    for (const auto &[address, follower] : m_followers) {
        const bool here = m_callbacks.now() - follower.seenAt <= m_settings.followerTimeout;
        if (here && follower.domain == domain && m_callbacks.isRoot(address))
            return PeerReferral{address, domain};
    }
    return std::nullopt;
}

// Trees that stay within a failure domain survive when it is cut off, and don't cross the expensive
// links between domains. A daemon that returns after a try can't reach the root of its domain, and
// gets a slot here.
std::optional<PeerReferral> ViewRelay::localRoot(const PeerQuery &query)
{
    const TimePoint now = m_callbacks.now();
    std::erase_if(m_sentToLocalRoot,
                  [&](const auto &item) { return now - item.second > m_settings.followerTimeout; });
    if (query.domain == m_domain || m_callbacks.isRoot(query.querier))
        return std::nullopt;
    if (m_followers.contains(query.querier))
        return std::nullopt;
    const auto root = rootIn(query.domain);
    if (!root)
        return std::nullopt;
    const auto sent = m_sentToLocalRoot.emplace(query.querier, now).first;
    return now - sent->second < LocalRootTryTime ? root : std::nullopt;
}

std::vector<PeerReferral> ViewRelay::referralsFor(const PeerQuery &query)
{
    if (const auto root = localRoot(query))
        return {*root};
    return admit(query) ? std::vector<PeerReferral>{} : followerReferrals(query.domain);
}

bool ViewRelay::admit(const PeerQuery &query)
{
    const TimePoint now = m_callbacks.now();
    std::erase_if(m_followers, [&](const auto &item) {
        return now - item.second.seenAt > m_settings.followerTimeout;
    });
    // Other roots are always answered and must not take follower slots.
    const auto taken
        = std::count_if(m_followers.begin(), m_followers.end(),
                        [this](const auto &item) { return !m_callbacks.isRoot(item.first); });
    const bool full = static_cast<std::size_t>(taken) >= m_settings.maxFollowers;
    if (full && !m_followers.contains(query.querier) && !m_callbacks.isRoot(query.querier))
        return false;
    Follower &follower = m_followers[query.querier];
    follower.seenAt = now;
    follower.domain = query.domain;
    return true;
}

// Followers are named in turn, so that the tree fills evenly: with random referrals, daemons that
// started together ended up far from the store.
std::vector<PeerReferral> ViewRelay::followerReferrals(const std::string &domain)
{
    std::vector<std::pair<Endpoint, Follower *>> ranked;
    for (auto &[address, follower] : m_followers)
        ranked.emplace_back(address, &follower);
    const auto rank = [&domain](const Follower &follower) {
        return std::pair{follower.domain == domain ? 0 : 1, follower.referrals};
    };
    std::stable_sort(ranked.begin(), ranked.end(), [&](const auto &a, const auto &b) {
        return rank(*a.second) < rank(*b.second);
    });
    std::vector<PeerReferral> named;
    for (const auto &[address, follower] : ranked) {
        if (named.size() == MaxReferrals)
            break;
        named.push_back({address, follower->domain});
    }
    if (!ranked.empty())
        ++ranked.front().second->referrals;
    std::reverse(named.begin(), named.end()); // The querying daemon prefers the last one.
    return named;
}

PeerReply ViewRelay::answer(const PeerQuery &query)
{
    PeerAnswer answer;
    answer.domain = m_domain;
    answer.lineage = m_callbacks.lineage();
    answer.hasSlot = m_followers.contains(query.querier);
    answer.isEmpty = !complete(query);
    if (answer.isEmpty)
        return answer;
    const auto age = ageOf(query);
    if (!age)
        return std::nullopt;
    answer.age = *age;
    if (query.whole && query.lacksAllCopies()) {
        answer.whole = wholeCopy(query);
        return answer;
    }
    for (const CollectionQuery &each : query.collections) {
        CollectionAnswer &out = answer.collections.emplace_back(answerOf(each));
        if (query.patches)
            m_patches.replaceWithPatches(*m_copies.at(each.prefix), each.after, out);
    }
    return answer;
}

CollectionAnswer ViewRelay::answerOf(const CollectionQuery &query) const
{
    const CollectionCopy &copy = *m_copies.at(query.prefix);
    CollectionAnswer out;
    out.delta = copy.since(query.after);
    out.sinceStoreReturn = sinceStoreReturn(copy);
    return out;
}

std::shared_ptr<WholeCopy> ViewRelay::wholeCopy(const PeerQuery &query)
{
    std::vector<CollectionQuery> versions = query.collections;
    for (CollectionQuery &each : versions)
        each.after = m_copies.at(each.prefix)->version();
    const TimePoint now = m_callbacks.now();
    if (m_whole.copy && m_whole.versions == versions && now - m_whole.madeAt < WholeCopyTime)
        return m_whole.copy;
    std::vector<CollectionAnswer> collections;
    for (const CollectionQuery &each : query.collections)
        collections.push_back(answerOf(each));
    m_whole = {std::make_shared<WholeCopy>(std::move(collections)), std::move(versions), now};
    return m_whole.copy;
}

void ViewRelay::onCopyChanged()
{
    std::vector<WaitingQuery> due;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        // A copy is confirmed a moment after it was applied.
        const bool waits = !complete(it->query) || (it->query.lacksCopy() && !ageOf(it->query));
        if (waits) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = m_waiting.erase(it);
    }
    for (const WaitingQuery &waiting : due)
        waiting.reply(answer(waiting.query));
}

void ViewRelay::timeOut(std::uint64_t id)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [id](const WaitingQuery &waiting) { return waiting.id == id; });
    if (found == m_waiting.end())
        return;
    const WaitingQuery waiting = std::move(*found);
    m_waiting.erase(found);
    waiting.reply(answer(waiting.query));
}

} // namespace baobabtrail
