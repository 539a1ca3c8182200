#include "core/directory/view_relay.h"

#include <algorithm>
#include <utility>

namespace baobabtrail {

namespace {

/// Within this time a daemon that was sent to a root has not tried it in vain: a question that gets
/// no answer takes 400 ms.
constexpr Duration TryTime = 300ms;
/// Daemons that are named to one that is sent on.
constexpr std::size_t MostNamed = 3;
/// Without anybody to be sent on for so long, a daemon no longer turns others away.
constexpr Duration TurnsNobody = 5s;
/// A return of the store is told for so long: what lapsed is back, or gone, within three seconds,
/// and news may be two seconds old.
constexpr Duration ReturnIsNews = 10s;

} // namespace

ViewRelay::ViewRelay(std::string domain, RelaySettings settings, Ports ports)
    : m_domain(std::move(domain))
    , m_settings(settings)
    , m_ports(std::move(ports))
{
}

bool ViewRelay::complete(const PeerQuery &question) const
{
    return std::all_of(
        question.collections.begin(), question.collections.end(),
        [this](const CollectionQuery &each) { return m_copies.at(each.prefix)->complete(); });
}

std::optional<Duration> ViewRelay::ageOf(const PeerQuery &question) const
{
    Duration oldest{0};
    for (const CollectionQuery &each : question.collections) {
        if (!m_copies.at(each.prefix)->confirmedByAge())
            continue;
        const auto confirmed = m_copies.at(each.prefix)->confirmedAt();
        if (!confirmed)
            return std::nullopt;
        oldest = std::max(oldest, m_ports.now() - *confirmed);
    }
    return oldest;
}

std::optional<Duration> ViewRelay::sinceStoreReturn(const CollectionCopy &copy) const
{
    const auto returned = copy.storeReturnedAt();
    if (!returned || m_ports.now() - *returned > ReturnIsNews)
        return std::nullopt;
    return m_ports.now() - *returned;
}

void ViewRelay::ask(const PeerQuery &question, Reply reply)
{
    const bool known = std::all_of(
        question.collections.begin(), question.collections.end(),
        [this](const CollectionQuery &each) { return m_copies.contains(each.prefix); });
    if (!known || question.collections.empty()) {
        reply(std::nullopt);
        return;
    }
    if (!complete(question)) {
        askBlank(question, std::move(reply));
        return;
    }
    const auto age = ageOf(question);
    if (!age) {
        reply(std::nullopt);
        return;
    }
    const bool stale = *age > m_settings.staleAfter;
    if (stale && question.age && *question.age <= m_settings.staleAfter)
        m_ports.fresher(question.querier);
    if (!question.oneShot && sendOn(question, false, reply))
        return;
    if (hasNews(question) || question.wait <= Duration{0})
        reply(answer(question));
    else
        hold(question, std::move(reply));
}

bool ViewRelay::hasNews(const PeerQuery &question) const
{
    if (question.lacksCopy())
        return true;
    // One that asks a moment after the others were told would hear a whole wait later, at each hop.
    const Lineage lineage = m_ports.lineage();
    if (!lineage.origin.isNull() && lineage.origin == question.origin
        && lineage.heartbeat >= question.heartbeat + MinHeartbeatAdvance)
        return true;
    return std::any_of(question.collections.begin(), question.collections.end(),
                       [this](const CollectionQuery &each) {
                           return m_copies.at(each.prefix)->changedSince(each.after);
                       });
}

// Where all daemons start at once, those that ask take their places before there is anything to
// give, and wait: sent away, hundreds would come again and again.
void ViewRelay::askBlank(const PeerQuery &question, Reply reply)
{
    if (!question.lacksCopy()) {
        m_ports.fresher(question.querier);
        reply(std::nullopt);
        return;
    }
    if (question.oneShot) {
        reply(std::nullopt);
        return;
    }
    if (!sendOn(question, true, reply))
        hold(question, std::move(reply));
}

bool ViewRelay::sendOn(const PeerQuery &question, bool isEmpty, const Reply &reply)
{
    std::vector<PeerReferral> elsewhere = redirect(question);
    if (elsewhere.empty())
        return false;
    turnAway();
    PeerAnswer answer;
    answer.domain = m_domain;
    answer.isEmpty = isEmpty;
    answer.redirect = std::move(elsewhere);
    reply(std::move(answer));
    return true;
}

void ViewRelay::turnAway()
{
    ++m_sentOn;
    m_turnedAt = m_ports.now();
    if (m_turnsSince)
        return;
    m_turnsSince = m_turnedAt;
    m_sentOnBefore = m_sentOn - 1;
    if (m_ports.turnsAway)
        m_ports.turnsAway({false, 0, Duration{0}, followers()});
}

void ViewRelay::expire()
{
    if (!m_turnsSince || m_ports.now() - m_turnedAt < TurnsNobody)
        return;
    const TurningAway ended{true, m_sentOn - m_sentOnBefore, m_turnedAt - *m_turnsSince,
                            followers()};
    m_turnsSince.reset();
    if (m_ports.turnsAway)
        m_ports.turnsAway(ended);
}

void ViewRelay::hold(const PeerQuery &question, Reply reply)
{
    const std::uint64_t id = ++m_lastId;
    m_waiting.push_back({id, question, std::move(reply)});
    m_ports.after(std::min(question.wait, m_settings.longestWait),
                  [this, id, alive = std::weak_ptr{m_alive}] {
                      if (!alive.expired())
                          timeOut(id);
                  });
}

std::optional<PeerReferral> ViewRelay::rootIn(const std::string &domain) const
{
    for (const auto &[address, follower] : m_followers) {
        const bool here = m_ports.now() - follower.seenAt <= m_settings.followerTimeout;
        if (here && follower.domain == domain && m_ports.isRoot(address))
            return PeerReferral{address, domain};
    }
    return std::nullopt;
}

// Trees that stay within a failure domain outlive its being cut off, and don't cross the dear
// links. One that comes back after a try can't reach the root of its own domain, and is taken here.
std::optional<PeerReferral> ViewRelay::nearerRoot(const PeerQuery &question)
{
    const TimePoint now = m_ports.now();
    std::erase_if(m_sentHome,
                  [&](const auto &item) { return now - item.second > m_settings.followerTimeout; });
    if (question.domain == m_domain || m_ports.isRoot(question.querier))
        return std::nullopt;
    if (m_followers.contains(question.querier))
        return std::nullopt;
    const auto root = rootIn(question.domain);
    if (!root)
        return std::nullopt;
    const auto sent = m_sentHome.emplace(question.querier, now).first;
    return now - sent->second < TryTime ? root : std::nullopt;
}

std::vector<PeerReferral> ViewRelay::redirect(const PeerQuery &question)
{
    if (const auto root = nearerRoot(question))
        return {*root};
    return admit(question) ? std::vector<PeerReferral>{} : others(question.domain);
}

bool ViewRelay::admit(const PeerQuery &question)
{
    const TimePoint now = m_ports.now();
    std::erase_if(m_followers, [&](const auto &item) {
        return now - item.second.seenAt > m_settings.followerTimeout;
    });
    // Other roots are always answered, and must not take the places of followers.
    const auto taken
        = std::count_if(m_followers.begin(), m_followers.end(),
                        [this](const auto &item) { return !m_ports.isRoot(item.first); });
    const bool full = static_cast<std::size_t>(taken) >= m_settings.maxFollowers;
    if (full && !m_followers.contains(question.querier) && !m_ports.isRoot(question.querier))
        return false;
    Follower &follower = m_followers[question.querier];
    follower.seenAt = now;
    follower.domain = question.domain;
    return true;
}

// By turns, so that the tree fills evenly: sent on at random, daemons that started together ended
// far from the store.
std::vector<PeerReferral> ViewRelay::others(const std::string &domain)
{
    std::vector<std::pair<Endpoint, Follower *>> ranked;
    for (auto &[address, follower] : m_followers)
        ranked.emplace_back(address, &follower);
    const auto rank = [&domain](const Follower &follower) {
        return std::pair{follower.domain == domain ? 0 : 1, follower.sent};
    };
    std::stable_sort(ranked.begin(), ranked.end(), [&](const auto &a, const auto &b) {
        return rank(*a.second) < rank(*b.second);
    });
    std::vector<PeerReferral> named;
    for (const auto &[address, follower] : ranked) {
        if (named.size() == MostNamed)
            break;
        named.push_back({address, follower->domain});
    }
    if (!ranked.empty())
        ++ranked.front().second->sent;
    std::reverse(named.begin(), named.end()); // The asking daemon prefers what it heard of last.
    return named;
}

PeerReply ViewRelay::answer(const PeerQuery &question)
{
    PeerAnswer answer;
    answer.domain = m_domain;
    answer.lineage = m_ports.lineage();
    answer.hasSlot = m_followers.contains(question.querier);
    answer.isEmpty = !complete(question);
    if (answer.isEmpty)
        return answer;
    const auto age = ageOf(question);
    if (!age)
        return std::nullopt;
    answer.age = *age;
    for (const CollectionQuery &each : question.collections) {
        const CollectionCopy &copy = *m_copies.at(each.prefix);
        CollectionAnswer &out = answer.collections.emplace_back();
        out.delta = copy.since(each.after);
        out.sinceStoreReturn = sinceStoreReturn(copy);
        if (question.patches)
            m_patches.apply(copy, each.after, out);
    }
    return answer;
}

void ViewRelay::changed()
{
    std::vector<Waiting> due;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        // A copy is confirmed a moment after it came.
        const bool waits
            = !complete(it->question) || (it->question.lacksCopy() && !ageOf(it->question));
        if (waits) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = m_waiting.erase(it);
    }
    for (const Waiting &waiting : due)
        waiting.reply(answer(waiting.question));
}

void ViewRelay::timeOut(std::uint64_t id)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [id](const Waiting &waiting) { return waiting.id == id; });
    if (found == m_waiting.end())
        return;
    const Waiting waiting = std::move(*found);
    m_waiting.erase(found);
    waiting.reply(answer(waiting.question));
}

} // namespace baobabtrail
