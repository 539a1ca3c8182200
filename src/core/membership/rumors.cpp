#include "core/membership/rumors.h"

#include <algorithm>
#include <bit>

namespace baobabtrail {

namespace {

/// Number of times that one daemon sends a rumor for each doubling of the number of members.
/// Members send two messages per ping period, so with 3 the expected number of daemons that a rumor
/// misses is far below one in 630.
constexpr std::uint32_t SendsPerDoubling = 3;

} // namespace

std::vector<DaemonId> RumorQueue::take(std::size_t count, std::size_t members)
{
    using Item = std::pair<std::uint32_t, DaemonId>;
    std::vector<Item> items;
    items.reserve(m_sent.size());
    for (const auto &[member, sent] : m_sent)
        items.emplace_back(sent, member);
    const std::size_t picked = std::min(count, items.size());
    std::partial_sort(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(picked),
                      items.end());

    const auto limit = SendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(members + 1));
    std::vector<DaemonId> result;
    for (std::size_t i = 0; i < picked; ++i) {
        const DaemonId member = items[i].second;
        result.push_back(member);
        if (++m_sent[member] >= limit)
            m_sent.erase(member);
    }
    return result;
}

} // namespace baobabtrail
