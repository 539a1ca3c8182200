#include "core/impl/hash.h"
#include "core/targets/impl/table.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabtrail {

namespace {

constexpr double UsualGain = 0.05;
constexpr double SpillAbove = 1.0;
constexpr double SpillUntil = 0.75;
constexpr double RemotePenalty = 0.1;
constexpr double NoLoad = std::numeric_limits<double>::infinity();
/// The second candidate of a flow must be clearly less loaded, so that an open that is sent twice
/// through daemons with slightly different knowledge finds the same target.
constexpr double ClearlyLess = 0.98;
constexpr std::uint32_t SendsPerPair = 2;

[[nodiscard]] bool contains(const std::vector<LoadHint> &hints, TargetId target) noexcept
{
    return std::ranges::any_of(hints, [&](const LoadHint &hint) { return hint.target == target; });
}

[[nodiscard]] std::size_t below(std::size_t count, Random &random)
{
    boost::random::uniform_int_distribution<std::size_t> index{0, count - 1};
    return index(random);
}

/// Weighted rendezvous: over many flows, a target ranks first in proportion to its weight.
[[nodiscard]] double rank(FlowId flow, const TargetConfig &target) noexcept
{
    constexpr double Scale = 1.0 / 18446744073709551616.0;
    const std::uint64_t mixed = impl::hashPair(flow.value(), target.id.value());
    const double uniform = (static_cast<double>(mixed) + 0.5) * Scale;
    return std::max<double>(target.weight, 1) / -std::log(uniform);
}

} // namespace

bool TargetTable::Impl::placeable(const Record &record, const std::vector<LoadHint> &declined,
                                  TimePoint now) const noexcept
{
    if (record.config.state != TargetState::Active)
        return false;
    if (!declined.empty() && contains(declined, record.config.id))
        return false;
    if (record.own)
        return true;
    if (record.local && !record.owner)
        return false;
    return !record.heard.unavailable(now) && !record.heard.silent(now);
}

double TargetTable::Impl::requestLoad(const Group &holder, const Record &record,
                                      TimePoint now) const noexcept
{
    if (record.own)
        return loadOf(record, now).requests;
    const double usual = record.local ? holder.usualRequests : holder.usualRemote;
    return record.heard.requests(usual, holder.fade, now);
}

double TargetTable::Impl::flowLoad(const Group &holder, const Record &record,
                                   TimePoint now) const noexcept
{
    if (record.own)
        return loadOf(record, now).flows;
    return record.heard.flows(holder.usualFlows, now);
}

TargetTable::Impl::Scored TargetTable::Impl::leastOfTwo(const Group &holder,
                                                        const std::vector<Record *> &among,
                                                        TimePoint now, Random &random) const
{
    if (among.empty())
        return {nullptr, NoLoad};
    const std::size_t first = below(among.size(), random);
    const Scored one{among[first], requestLoad(holder, *among[first], now)};
    if (among.size() == 1)
        return one;
    const std::size_t second = (first + 1 + below(among.size() - 1, random)) % among.size();
    const Scored other{among[second], requestLoad(holder, *among[second], now)};
    return other.load < one.load ? other : one;
}

void TargetTable::Impl::updateSpilling(Group &holder, double least) const noexcept
{
    if (least >= SpillAbove)
        holder.spilling = true;
    else if (least < SpillUntil)
        holder.spilling = false;
}

TargetTable::Impl::Scored TargetTable::Impl::spill(Group &holder,
                                                   const std::vector<LoadHint> &declined,
                                                   TimePoint now, Random &random)
{
    m_others.clear();
    for (Record *record : holder.remote) {
        if (placeable(*record, declined, now))
            m_others.push_back(record);
    }
    return leastOfTwo(holder, m_others, now, random);
}

PlacementChoice TargetTable::Impl::chosen(const Record &record, Random &random) const
{
    PlacementChoice choice;
    choice.target = record.config.id;
    choice.own = record.own;
    if (record.local) {
        choice.owner = record.owner ? record.owner->address : Endpoint{};
        return choice;
    }
    const std::vector<Member> &members = *record.remoteOwners;
    choice.owner = members[below(members.size(), random)].address;
    return choice;
}

std::optional<PlacementChoice>
TargetTable::Impl::chooseForRequest(ServiceId service, const std::vector<LoadHint> &declined,
                                    TimePoint now, Random &random)
{
    Group *holder = group(service);
    if (!holder)
        return std::nullopt;
    m_candidates.clear();
    Scored own{nullptr, NoLoad};
    double least = NoLoad;
    for (Record *record : holder->local) {
        if (!placeable(*record, declined, now))
            continue;
        const double load = requestLoad(*holder, *record, now);
        if (load >= impl::UnavailableLoad)
            continue;
        m_candidates.push_back(record);
        least = std::min(least, load);
        if (record->own && load < own.load)
            own = {record, load};
    }
    updateSpilling(*holder, least);
    Scored best = leastOfTwo(*holder, m_candidates, now, random);
    if (own.load < best.load)
        best = own;
    if (holder->spilling) {
        const Scored remote = spill(*holder, declined, now, random);
        if (remote.record && remote.load + RemotePenalty < best.load)
            best = remote;
    }
    if (!best.record)
        return std::nullopt;
    // The ask waits where it is when nothing better is known; a forward would only add a hop.
    if (!declined.empty() && best.load >= declined.back().requests)
        return std::nullopt;
    if (!best.record->own)
        best.record->heard.sentRequest(1.0 / std::max(best.record->config.slots, 1U), now);
    return chosen(*best.record, random);
}

std::optional<PlacementChoice>
TargetTable::Impl::chooseForFlow(ServiceId service, FlowId flow, std::uint32_t attempt,
                                 const std::vector<LoadHint> &declined, TimePoint now,
                                 Random &random)
{
    Group *holder = group(service);
    if (!holder)
        return std::nullopt;
    m_candidates.clear();
    for (Record *record : holder->local) {
        if (!placeable(*record, declined, now))
            continue;
        if (record->own && !takesFlow(*record, now))
            continue;
        m_candidates.push_back(record);
    }
    if (m_candidates.empty()) {
        const Scored remote = spill(*holder, declined, now, random);
        if (!remote.record)
            return std::nullopt;
        return chosen(*remote.record, random);
    }
    const std::size_t pairs = (m_candidates.size() + 1) / 2;
    const std::size_t pair = (attempt / SendsPerPair) % pairs;
    const std::size_t wanted = std::min(m_candidates.size(), 2 * pair + 2);
    m_ranked.clear();
    for (Record *record : m_candidates)
        m_ranked.push_back({record, rank(flow, record->config)});
    std::partial_sort(m_ranked.begin(), m_ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                      m_ranked.end(),
                      [](const Scored &a, const Scored &b) { return a.load > b.load; });
    Record *best = m_ranked[2 * pair].record;
    if (wanted == 2 * pair + 2) {
        Record *other = m_ranked[2 * pair + 1].record;
        if (flowLoad(*holder, *other, now) < ClearlyLess * flowLoad(*holder, *best, now))
            best = other;
    }
    if (!best->own)
        best->heard.sentFlow(1.0 / std::max(best->config.weight, 1U), now);
    return chosen(*best, random);
}

void TargetTable::Impl::hint(const LoadHint &hint, TimePoint now)
{
    Record *record = find(hint.target);
    if (!record || record->own)
        return;
    const bool before = record->heard.unavailable(now);
    record->heard.hint(hint, now);
    Group *holder = group(record->service);
    if (!holder)
        return;
    for (Record *other : holder->local) {
        if (other->owner == record->owner)
            other->heard.ownerSpoke();
    }
    if (record->heard.unavailable(now) != before)
        refreshDoubt(*holder, now);
    if (hint.requests < impl::UnavailableLoad) {
        double &usual = record->local ? holder->usualRequests : holder->usualRemote;
        usual += UsualGain * (hint.requests - usual);
    }
    if (hint.flows < impl::UnavailableLoad && record->local) {
        const double gain = holder->usualFlows == 0 ? 1.0 : UsualGain;
        holder->usualFlows += gain * (hint.flows - holder->usualFlows);
    }
}

} // namespace baobabtrail
