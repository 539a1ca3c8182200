#include "core/direct/label_table.h"

#include "core/impl/hash.h"

#include <algorithm>
#include <array>

namespace baobabtrail {

namespace {

/// Hash salts: the second gives a label to a target whose first one collides.
constexpr std::array<std::uint64_t, 2> Salts{1, 2};

[[nodiscard]] FlowLabel fingerprint(TargetId target, std::uint64_t salt) noexcept
{
    const auto high = static_cast<std::uint32_t>(impl::hashPair(target.value(), salt) >> 32);
    return FlowLabel{std::max<std::uint32_t>(high, 1)};
}

} // namespace

void LabelTable::add(TargetId target)
{
    for (const std::uint64_t salt : Salts)
        m_targets.emplace(fingerprint(target, salt), target);
}

void LabelTable::remove(TargetId target)
{
    for (const std::uint64_t salt : Salts) {
        const auto [first, last] = m_targets.equal_range(fingerprint(target, salt));
        const auto found
            = std::find_if(first, last, [&](const auto &item) { return item.second == target; });
        if (found != last)
            m_targets.erase(found);
    }
}

std::optional<FlowLabel> LabelTable::labelOf(TargetId target) const
{
    for (const std::uint64_t salt : Salts) {
        const FlowLabel label = fingerprint(target, salt);
        if (find(label) == target)
            return label;
    }
    return std::nullopt;
}

std::optional<TargetId> LabelTable::find(FlowLabel label) const
{
    const auto [first, last] = m_targets.equal_range(label);
    if (first == last || std::next(first) != last)
        return std::nullopt;
    return first->second;
}

} // namespace baobabtrail
