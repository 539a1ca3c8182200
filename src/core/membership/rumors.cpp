#include "core/membership/rumors.h"

#include <algorithm>
#include <bit>

namespace baobabtrail {

namespace {

/// Sends of one rumor by one daemon for each doubling of the members. Members send two messages
/// in a ping period, so with 3 the part that hears nothing is far below one daemon in 630.
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
