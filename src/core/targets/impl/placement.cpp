#include "core/impl/hash.h"
#include "core/targets/impl/table.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabtrail {

namespace {

constexpr double AverageGain = 0.05;
constexpr double SpillAbove = 1.0;
constexpr double SpillUntil = 0.75;
constexpr double RemotePenalty = 0.1;
/// The known members of another domain may be out of date; a request that spills over then needs a
/// forward over there to reach the owner. One that was declined more often may have none left.
constexpr std::size_t MaxDeclinedToSpill = 1;
/// A forward costs a fraction of a millisecond, a wait half a service time. So a forward is worth
/// it even where the other target's known load is up to this much higher, as hints are rarely
/// exact.
constexpr double MinGainToForward = 2.0;
/// With more candidates, all daemons would more often choose the same target (thundering herd).
constexpr std::size_t Candidates = 3;
constexpr double InfiniteLoad = std::numeric_limits<double>::infinity();
/// The second candidate of a flow must be clearly less loaded to be chosen, so that an open that is
/// sent through two daemons with slightly different loads gets the same target.
constexpr double ClearlyLess = 0.98;
constexpr std::uint32_t SendsPerPair = 2;

[[nodiscard]] bool contains(const std::vector<LoadHint> &hints, TargetId target) noexcept
{
    return std::ranges::any_of(hints, [&](const LoadHint &hint) { return hint.target == target; });
}

[[nodiscard]] std::size_t randomBelow(std::size_t count, Random &random)
{
    boost::random::uniform_int_distribution<std::size_t> index{0, count - 1};
    return index(random);
}

constexpr double InverseOfRange = 1.0 / 18446744073709551616.0;

/// Weighted rendezvous hashing: over many flows, a target ranks first in proportion to its weight.
[[nodiscard]] double rank(FlowId flow, const TargetConfig &target) noexcept
{
    const std::uint64_t mixed = impl::hashPair(flow.value(), target.id.value());
    const double uniform = (static_cast<double>(mixed) + 0.5) * InverseOfRange;
    return std::max<double>(target.weight, 1) / -std::log(uniform);
}

} // namespace

bool TargetTable::Impl::placeable(const Record &record,
                                  const std::vector<LoadHint> &declined) noexcept
{
    if (!record.config.takesWork())
        return false;
    if (!record.owner)
        return false;
    return declined.empty() || !contains(declined, record.config.id);
}

bool TargetTable::Impl::reachable(const Record &record, TimePoint now) const noexcept
{
    if (record.own)
        return true;
    return !record.hinted.unavailable(now) && !(record.contact && record.contact->silent(now));
}

void TargetTable::Impl::collect(const Group &serviceGroup, const std::vector<LoadHint> &declined,
                                TimePoint now)
{
    m_candidates.clear();
    for (Record *record : serviceGroup.local) {
        if (placeable(*record, declined) && reachable(*record, now))
            m_candidates.push_back(record);
    }
    if (!m_candidates.empty() || !declined.empty())
        return;
    // If no owner seems to answer, it is more likely that this daemon is cut off from them.
    for (Record *record : serviceGroup.local) {
        if (placeable(*record, declined))
            m_candidates.push_back(record);
    }
}

bool TargetTable::Impl::waitsAtOwnTarget(const std::vector<LoadHint> &declined) const noexcept
{
    return !declined.empty() && findOwn(declined.back().target) != nullptr;
}

double TargetTable::Impl::requestLoad(const Group &serviceGroup, const Record &record,
                                      TimePoint now) const noexcept
{
    if (record.own)
        return loadOf(record, now).requests;
    const double average
        = record.local ? serviceGroup.averageRequests : serviceGroup.averageRemoteRequests;
    return record.hinted.requests(average, serviceGroup.decayTime, now);
}

double TargetTable::Impl::flowLoad(const Group &serviceGroup, const Record &record,
                                   TimePoint now) const noexcept
{
    if (record.own)
        return loadOf(record, now).flows;
    return record.hinted.flows(serviceGroup.averageFlows, now);
}

TargetTable::Impl::Scored TargetTable::Impl::leastLoadedOfSample(const Group &serviceGroup,
                                                                 const std::vector<Record *> &among,
                                                                 TimePoint now,
                                                                 Random &random) const
{
    if (among.empty())
        return {nullptr, InfiniteLoad};
    const std::size_t count = among.size();
    const std::size_t step = count > 1 ? 1 + randomBelow(count - 1, random) : 0;
    std::size_t at = randomBelow(count, random);
    Scored best{nullptr, InfiniteLoad};
    for (std::size_t i = 0; i < Candidates; ++i, at = (at + step) % count) {
        const double load = requestLoad(serviceGroup, *among[at], now);
        if (load < best.load)
            best = {among[at], load};
    }
    return best;
}

void TargetTable::Impl::updateSpilling(Group &serviceGroup, double least) const noexcept
{
    if (least >= SpillAbove)
        serviceGroup.spilling = true;
    else if (least < SpillUntil)
        serviceGroup.spilling = false;
}

TargetTable::Impl::Scored
TargetTable::Impl::leastLoadedRemote(Group &serviceGroup, const std::vector<LoadHint> &declined,
                                     TimePoint now, Random &random)
{
    m_remoteCandidates.clear();
    for (Record *record : serviceGroup.remote) {
        if (placeable(*record, declined) && reachable(*record, now))
            m_remoteCandidates.push_back(record);
    }
    return leastLoadedOfSample(serviceGroup, m_remoteCandidates, now, random);
}

PlacementChoice TargetTable::Impl::chosen(const Record &record)
{
    return {record.config.id, record.own, record.owner->address};
}

TargetTable::Impl::Scored TargetTable::Impl::leastLoadedLocal(Group &serviceGroup,
                                                              const std::vector<LoadHint> &declined,
                                                              TimePoint now, Random &random)
{
    collect(serviceGroup, declined, now);
    Scored own{nullptr, impl::UnavailableLoad};
    double least = InfiniteLoad;
    std::erase_if(m_candidates, [&](Record *record) {
        const double load = requestLoad(serviceGroup, *record, now);
        least = std::min(least, load);
        if (record->own && load < own.load)
            own = {record, load};
        return load >= impl::UnavailableLoad;
    });
    updateSpilling(serviceGroup, least);
    const Scored best = leastLoadedOfSample(serviceGroup, m_candidates, now, random);
    // A target of this daemon is preferred: its load is exact, and it needs no further hop.
    return own.record && own.load < best.load ? own : best;
}

std::optional<PlacementChoice>
TargetTable::Impl::chooseForRequest(ServiceId service, const std::vector<LoadHint> &declined,
                                    TimePoint now, Random &random)
{
    Group *serviceGroup = group(service);
    if (!serviceGroup)
        return std::nullopt;
    Scored best = leastLoadedLocal(*serviceGroup, declined, now, random);
    if (serviceGroup->spilling && declined.size() <= MaxDeclinedToSpill) {
        const Scored remote = leastLoadedRemote(*serviceGroup, declined, now, random);
        if (remote.record && remote.load + RemotePenalty < best.load)
            best = remote;
    }
    if (!best.record)
        return std::nullopt;
    // The request waits here if all other targets are known to be worse; a forward would only add
    // a hop.
    if (waitsAtOwnTarget(declined) && best.load >= declined.back().requests + MinGainToForward)
        return std::nullopt;
    if (!best.record->own)
        best.record->hinted.sentRequest(1.0 / std::max(best.record->config.slots, 1U));
    if (best.record->contact)
        best.record->contact->asked(now);
    return chosen(*best.record);
}

impl::TargetRecord *TargetTable::Impl::lessLoadedOfPair(const Group &serviceGroup, FlowId flow,
                                                        std::uint32_t attempt, TimePoint now)
{
    const std::size_t pairs = (m_candidates.size() + 1) / 2;
    const std::size_t first = 2 * ((attempt / SendsPerPair) % pairs);
    const std::size_t ranked = std::min(m_candidates.size(), first + 2);
    m_ranked.clear();
    for (Record *record : m_candidates)
        m_ranked.push_back({record, rank(flow, record->config)});
    std::partial_sort(m_ranked.begin(), m_ranked.begin() + static_cast<std::ptrdiff_t>(ranked),
                      m_ranked.end(),
                      [](const Scored &a, const Scored &b) { return a.load > b.load; });
    Record *one = m_ranked[first].record;
    if (ranked == first + 1)
        return one;
    Record *other = m_ranked[first + 1].record;
    const bool clear
        = flowLoad(serviceGroup, *other, now) < ClearlyLess * flowLoad(serviceGroup, *one, now);
    return clear ? other : one;
}

std::optional<PlacementChoice>
TargetTable::Impl::chooseForFlow(ServiceId service, FlowId flow, std::uint32_t attempt,
                                 const std::vector<LoadHint> &declined, TimePoint now,
                                 Random &random)
{
    Group *serviceGroup = group(service);
    if (!serviceGroup)
        return std::nullopt;
    collect(*serviceGroup, declined, now);
    std::erase_if(m_candidates,
                  [&](Record *record) { return record->own && !takesFlow(*record, now); });
    Record *best = m_candidates.empty()
                       ? leastLoadedRemote(*serviceGroup, declined, now, random).record
                       : lessLoadedOfPair(*serviceGroup, flow, attempt, now);
    if (!best)
        return std::nullopt;
    if (!best->own)
        best->hinted.sentFlow(1.0 / std::max(best->config.weight, 1U));
    if (best->contact)
        best->contact->asked(now);
    return chosen(*best);
}

void TargetTable::Impl::applyHint(const LoadHint &hint, TimePoint now)
{
    Record *record = find(hint.target);
    if (!record || record->own)
        return;
    const bool before = record->hinted.unavailable(now);
    record->hinted.applyHint(hint, now);
    Group *serviceGroup = group(record->service);
    if (!serviceGroup)
        return;
    if (record->contact)
        record->contact->answered();
    if (record->hinted.unavailable(now) != before)
        updatePanicMode(*serviceGroup, now);
    if (hint.requests < impl::UnavailableLoad) {
        double &average
            = record->local ? serviceGroup->averageRequests : serviceGroup->averageRemoteRequests;
        average += AverageGain * (hint.requests - average);
    }
    if (hint.flows < impl::UnavailableLoad && record->local) {
        // A single false report of very many flows must not move the average.
        double &average = serviceGroup->averageFlows;
        const double gain = average == 0 ? 1.0 : AverageGain;
        const double heard
            = average == 0 ? hint.flows : std::min<double>(hint.flows, 2 * average + 1);
        average += gain * (heard - average);
    }
}

} // namespace baobabtrail
