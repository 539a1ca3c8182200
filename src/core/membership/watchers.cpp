#include "core/membership/watchers.h"

#include "core/impl/hash.h"

#include <algorithm>

namespace baobabtrail {

std::vector<const Member *> watchersOf(std::string_view domain, const std::vector<Member> &members,
                                       std::size_t count)
{
    const std::uint64_t domainHash = impl::hash64(domain);
    std::vector<const Member *> candidates;
    for (const Member &member : members) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect)
            candidates.push_back(&member);
    }
    const std::size_t picked = std::min(count, candidates.size());
    const auto score
        = [&](const Member *member) { return impl::hashPair(domainHash, member->id.value()); };
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(picked),
                      candidates.end(),
                      [&](const Member *a, const Member *b) { return score(a) > score(b); });
    candidates.resize(picked);
    return candidates;
}

std::optional<std::size_t> watcherRank(std::string_view domain, const std::vector<Member> &members,
                                       std::size_t count, DaemonId id)
{
    const std::vector<const Member *> watchers = watchersOf(domain, members, count);
    for (std::size_t rank = 0; rank < watchers.size(); ++rank) {
        if (watchers[rank]->id == id)
            return rank;
    }
    return std::nullopt;
}

} // namespace baobabtrail
