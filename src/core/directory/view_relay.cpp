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

} // namespace

ViewRelay::ViewRelay(std::string domain, RelaySettings settings, Ports ports)
    : m_domain(std::move(domain))
    , m_settings(settings)
    , m_ports(std::move(ports))
{
}

void ViewRelay::ask(const PeerQuestion &question, Reply reply)
{
    const auto copy = m_copies.find(question.prefix);
    // A copy that was not confirmed since the process stood still may be older than what the asking
    // daemon could read for itself.
    if (copy == m_copies.end() || !copy->second->complete() || !copy->second->confirmedAt()) {
        reply(std::nullopt);
        return;
    }
    ++m_lastId;
    const bool stale = ageOf(*copy->second) > m_settings.staleAfter;
    if (stale && question.age && *question.age <= m_settings.staleAfter)
        m_ports.fresher(question.prefix, question.asker);
    // While this copy is out of date, so are those of the daemons that have it from here: one that
    // has nothing at all is not sent through the whole tree for the same.
    const bool answered = question.look || (stale && question.after.isNull());
    std::vector<Endpoint> elsewhere = answered ? std::vector<Endpoint>{} : redirect(question);
    if (!elsewhere.empty()) {
        PeerAnswer answer;
        answer.domain = m_domain;
        answer.redirect = std::move(elsewhere);
        reply(std::move(answer));
        return;
    }
    const Lineage lineage = m_ports.lineage(question.prefix);
    // One that asks a moment after the others were told would hear a whole wait later, at each hop.
    const bool missed = !lineage.origin.isNull() && lineage.origin == question.origin
                        && lineage.pulse >= question.pulse + LeastNewsOfPulse;
    const bool news
        = missed || question.after.isNull() || copy->second->changedSince(question.after);
    if (news || question.wait <= Duration{0}) {
        reply(answer(*copy->second, question));
        return;
    }
    const std::uint64_t id = m_lastId;
    m_waiting.push_back({id, question, std::move(reply)});
    m_ports.after(std::min(question.wait, m_settings.longestWait),
                  [this, id, alive = std::weak_ptr{m_alive}] {
                      if (!alive.expired())
                          timeOut(id);
                  });
}

std::optional<Endpoint> ViewRelay::rootIn(const std::string &prefix,
                                          const std::string &domain) const
{
    const auto followers = m_followers.find(prefix);
    if (followers == m_followers.end())
        return std::nullopt;
    for (const auto &[address, follower] : followers->second) {
        const bool here = m_ports.now() - follower.seenAt <= m_settings.followerTimeout;
        if (here && follower.domain == domain && m_ports.isRoot(address))
            return address;
    }
    return std::nullopt;
}

// Trees that stay within a failure domain outlive its being cut off, and don't cross the dear
// links. One that comes back after a try can't reach the root of its own domain, and is taken here.
std::optional<Endpoint> ViewRelay::nearerRoot(const PeerQuestion &question)
{
    const TimePoint now = m_ports.now();
    std::erase_if(m_sentHome,
                  [&](const auto &item) { return now - item.second > m_settings.followerTimeout; });
    if (question.domain == m_domain || m_ports.isRoot(question.asker))
        return std::nullopt;
    if (m_followers[question.prefix].contains(question.asker))
        return std::nullopt;
    const auto root = rootIn(question.prefix, question.domain);
    if (!root)
        return std::nullopt;
    const auto sent = m_sentHome.emplace(question.asker, now).first;
    return now - sent->second < TryTime ? root : std::nullopt;
}

std::vector<Endpoint> ViewRelay::redirect(const PeerQuestion &question)
{
    if (const auto root = nearerRoot(question))
        return {*root};
    return admit(question) ? std::vector<Endpoint>{} : others(question.prefix, question.domain);
}

bool ViewRelay::admit(const PeerQuestion &question)
{
    const TimePoint now = m_ports.now();
    Followers &followers = m_followers[question.prefix];
    std::erase_if(followers, [&](const auto &item) {
        return now - item.second.seenAt > m_settings.followerTimeout;
    });
    // Other roots are always answered, and must not take the places of followers.
    const auto taken = std::count_if(followers.begin(), followers.end(), [this](const auto &item) {
        return !m_ports.isRoot(item.first);
    });
    const bool full = static_cast<std::size_t>(taken) >= m_settings.maxFollowers;
    if (full && !followers.contains(question.asker) && !m_ports.isRoot(question.asker))
        return false;
    Follower &follower = followers[question.asker];
    follower.seenAt = now;
    follower.domain = question.domain;
    return true;
}

std::size_t ViewRelay::followers() const noexcept
{
    std::size_t most = 0;
    for (const auto &[prefix, followers] : m_followers)
        most = std::max(most, followers.size());
    return most;
}

// By turns, so that the tree fills evenly: sent on at random, daemons that started together ended
// up to twenty hops from the store.
std::vector<Endpoint> ViewRelay::others(const std::string &prefix, const std::string &domain)
{
    std::vector<std::pair<Endpoint, Follower *>> ranked;
    for (auto &[address, follower] : m_followers[prefix])
        ranked.emplace_back(address, &follower);
    const auto rank = [&domain](const Follower &follower) {
        return std::pair{follower.domain == domain ? 0 : 1, follower.sent};
    };
    std::stable_sort(ranked.begin(), ranked.end(), [&](const auto &a, const auto &b) {
        return rank(*a.second) < rank(*b.second);
    });
    std::vector<Endpoint> named;
    for (const auto &[address, follower] : ranked) {
        if (named.size() == MostNamed)
            break;
        named.push_back(address);
    }
    if (!ranked.empty())
        ++ranked.front().second->sent;
    std::reverse(named.begin(), named.end()); // The asking daemon prefers what it heard of last.
    return named;
}

PeerReply ViewRelay::answer(const CollectionCopy &copy, const PeerQuestion &question)
{
    if (!copy.confirmedAt())
        return std::nullopt;
    PeerAnswer answer;
    answer.domain = m_domain;
    // One that has nothing looks first for somebody who answers, before it asks for a whole copy.
    if (question.look && question.after.isNull()) {
        answer.delta.change.version = copy.version();
        answer.objects = static_cast<std::uint32_t>(copy.size());
    } else {
        answer.delta = copy.since(question.after);
        m_patches.apply(copy, question, answer);
    }
    answer.age = ageOf(copy);
    answer.lineage = m_ports.lineage(question.prefix);
    const auto followers = m_followers.find(question.prefix);
    answer.seated = followers != m_followers.end() && followers->second.contains(question.asker);
    return answer;
}

Duration ViewRelay::ageOf(const CollectionCopy &copy) const
{
    return m_ports.now() - *copy.confirmedAt();
}

void ViewRelay::changed(const std::string &prefix)
{
    std::vector<Waiting> due;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->question.prefix != prefix) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = m_waiting.erase(it);
    }
    for (const Waiting &waiting : due)
        waiting.reply(answer(*m_copies.at(prefix), waiting.question));
}

void ViewRelay::timeOut(std::uint64_t id)
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [id](const Waiting &waiting) { return waiting.id == id; });
    if (found == m_waiting.end())
        return;
    const Waiting waiting = std::move(*found);
    m_waiting.erase(found);
    waiting.reply(answer(*m_copies.at(waiting.question.prefix), waiting.question));
}

} // namespace baobabtrail
