/// \file
/// \brief Placement of the baseline: a random active target of the service, without a second
/// attempt. bench-random-daemon links it before the product's placement, which it thus replaces, so
/// that the two daemons differ in nothing else.

#include "core/targets/impl/table.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace baobabtrail {

namespace {

[[nodiscard]] bool isActive(const impl::TargetRecord &record) noexcept
{
    return record.config.state == TargetState::Active && record.owner;
}

[[nodiscard]] std::optional<PlacementChoice> anyOf(const impl::ServiceGroup *group, Random &random)
{
    if (!group)
        return std::nullopt;
    std::vector<const impl::TargetRecord *> candidates;
    for (const impl::TargetRecord *record : group->local) {
        if (isActive(*record))
            candidates.push_back(record);
    }
    for (const impl::TargetRecord *record : group->remote) {
        if (isActive(*record))
            candidates.push_back(record);
    }
    if (candidates.empty())
        return std::nullopt;
    boost::random::uniform_int_distribution<std::size_t> pick{0, candidates.size() - 1};
    const impl::TargetRecord &record = *candidates[pick(random)];
    return PlacementChoice{record.config.id, record.own, record.owner->address};
}

} // namespace

std::optional<PlacementChoice>
TargetTable::Impl::chooseForRequest(ServiceId service, const std::vector<LoadHint> &declined,
                                    TimePoint, Random &random)
{
    return declined.empty() ? anyOf(group(service), random) : std::nullopt;
}

std::optional<PlacementChoice>
TargetTable::Impl::chooseForFlow(ServiceId service, FlowId, std::uint32_t,
                                 const std::vector<LoadHint> &declined, TimePoint, Random &random)
{
    return declined.empty() ? anyOf(group(service), random) : std::nullopt;
}

void TargetTable::Impl::applyHint(const LoadHint &, TimePoint) {}

} // namespace baobabtrail
