#include "core/targets/impl/table.h"

#include <set>
#include <utility>

namespace baobabtrail {

namespace {

[[nodiscard]] bool sameMachine(const TargetConfig &a, const TargetConfig &b) noexcept
{
    return a.generation == b.generation && a.flows == b.flows && a.requests == b.requests;
}

} // namespace

void TargetTable::Impl::configure(ConfigPtr newConfig, ViewPtr newView, TimePoint now)
{
    // Targets of the first configuration were running before this daemon started.
    const auto addedAt = records.empty() ? std::nullopt : std::optional{now};
    config = std::move(newConfig);
    view = std::move(newView);
    readRemoteViews();

    auto before = std::exchange(records, {});
    auto groupsBefore = std::exchange(groups, {});
    for (const auto &[serviceId, service] : config->services) {
        Group &serviceGroup = groups[serviceId];
        if (const auto kept = groupsBefore.find(serviceId); kept != groupsBefore.end())
            serviceGroup.retainStatistics(kept->second);
        for (const auto &[id, target] : service.targets) {
            const auto kept = before.find(id);
            auto old = kept == before.end() ? nullptr : std::move(kept->second);
            records[id] = reuseOrCreate(std::move(old), target, serviceId, addedAt);
            addToGroup(serviceGroup, *records[id]);
        }
        updatePanicMode(serviceGroup, now);
    }
    rebuildOwnLists();
}

void TargetTable::Impl::rebuildOwnLists()
{
    ownRecords.clear();
    ownGroups.clear();
    for (auto &[service, serviceGroup] : groups) {
        const std::size_t before = ownRecords.size();
        for (Record *record : serviceGroup.local) {
            if (record->own)
                ownRecords.push_back(record);
        }
        if (ownRecords.size() > before)
            ownGroups.push_back(&serviceGroup);
    }
}

void TargetTable::Impl::readRemoteViews()
{
    remoteViews.clear();
    std::set<DaemonId> known;
    for (const Member &member : view->members)
        known.insert(member.id);
    for (const auto &[domain, members] : view->remote) {
        remoteViews[domain].members = members;
        for (const Member &member : members)
            known.insert(member.id);
    }
    std::erase_if(contacts, [&](const auto &item) { return !known.contains(item.first); });
}

const Member *TargetTable::Impl::ownerOf(const TargetConfig &target) const noexcept
{
    if (target.domain == view->domain)
        return view->ownerOf(target.id);
    const auto found = remoteViews.find(target.domain);
    return found == remoteViews.end() ? nullptr : found->second.ownerOf(target.id);
}

std::unique_ptr<impl::TargetRecord>
TargetTable::Impl::reuseOrCreate(std::unique_ptr<Record> old, const TargetConfig &target,
                                 ServiceId service, std::optional<TimePoint> addedAt) const
{
    // A new generation under the same name is another machine: no state of the old one applies.
    if (!old || !sameMachine(old->config, target)) {
        old = std::make_unique<Record>();
        old->addedAt = addedAt;
        old->limit.setSlots(target.slots);
    }
    if (old->config.slots != target.slots)
        old->limit.setSlots(target.slots);
    old->config = target;
    old->service = service;
    old->local = target.domain == view->domain;
    old->owner = ownerOf(target);
    const bool own = old->local && old->owner && old->owner->id == view->self;
    if (own != old->own) {
        // Health state from an earlier ownership is out of date, and the link has to be opened
        // again.
        old->healthTracker = impl::HealthTracker{};
        old->waiting = 0;
        old->offers = 0;
        old->foreign = 0;
        old->connections = impl::ConnectionCount{};
    }
    old->own = own;
    return old;
}

void TargetTable::Impl::addToGroup(Group &serviceGroup, Record &record)
{
    record.contact = record.owner && !record.own ? &contacts[record.owner->id] : nullptr;
    std::vector<Record *> &list = record.local ? serviceGroup.local : serviceGroup.remote;
    list.push_back(&record);
}

TargetTable::Impl::Record *TargetTable::Impl::find(TargetId target) noexcept
{
    const auto found = records.find(target);
    return found == records.end() ? nullptr : found->second.get();
}

const TargetTable::Impl::Record *TargetTable::Impl::find(TargetId target) const noexcept
{
    const auto found = records.find(target);
    return found == records.end() ? nullptr : found->second.get();
}

TargetTable::Impl::Record *TargetTable::Impl::findOwn(TargetId target) noexcept
{
    Record *record = find(target);
    return record && record->own ? record : nullptr;
}

const TargetTable::Impl::Record *TargetTable::Impl::findOwn(TargetId target) const noexcept
{
    const Record *record = find(target);
    return record && record->own ? record : nullptr;
}

TargetTable::Impl::Group *TargetTable::Impl::group(ServiceId service) noexcept
{
    const auto found = groups.find(service);
    return found == groups.end() ? nullptr : &found->second;
}

const TargetTable::Impl::Group *TargetTable::Impl::group(ServiceId service) const noexcept
{
    const auto found = groups.find(service);
    return found == groups.end() ? nullptr : &found->second;
}

} // namespace baobabtrail
