#include "core/control/quarantine_check.h"

#include "core/membership/watchers.h"

#include <algorithm>
#include <map>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxNamedDaemons = 5; ///< Daemons that one finding names.

} // namespace

struct QuarantineCheck::PendingCheck
{
    std::vector<QuarantineUse> uses;
    Proposer::QuarantineChecked done;
    std::map<DaemonId, std::string> live; ///< With their failure domains.
    std::map<DaemonId, Revision> passed;
    std::size_t openQueries = 0;

    void add(const MemberUpdate &member)
    {
        live.emplace(member.daemon, member.domain);
        Revision &known = passed[member.daemon];
        known = std::max(known, member.revision);
    }
};

void QuarantineCheck::check(std::vector<QuarantineUse> uses, Proposer::QuarantineChecked done)
{
    auto pending = std::make_shared<PendingCheck>();
    pending->uses = std::move(uses);
    pending->done = std::move(done);
    m_context.call(ListVms{}, [this, pending](const PlatformResult &result) {
        const auto *list = std::get_if<VmList>(&result);
        if (!list) {
            Findings findings;
            for (const QuarantineUse &use : pending->uses)
                findings.push_back({use.place, "address " + toString(use.address)
                                                   + " is in quarantine, and the VM list that says"
                                                     " which daemons are live can't be read"});
            return pending->done(std::move(findings));
        }
        m_swim.applyVmList(*list);
        for (const VmEntry &vm : list->vms)
            pending->live.emplace(vm.daemon, vm.domain);
        for (const DaemonId daemon : list->unreadable)
            pending->live.emplace(daemon, "unknown domain");
        queryDomains(pending);
    });
}

void QuarantineCheck::queryDomains(const std::shared_ptr<PendingCheck> &pending)
{
    for (const MemberUpdate &member : m_swim.statusMembers())
        pending->add(member);
    for (const MemberUpdate *member : m_swim.remote().present())
        pending->add(*member);

    const View view = m_swim.view();
    const std::size_t count = m_context.settings().watchersPerDomain;
    std::vector<Endpoint> toQuery;
    const auto collect = [&](const std::string &domain, const std::vector<Member> &members) {
        for (const Member *watcher : watchersOf(domain, members, count)) {
            if (watcher->id != view.self)
                toQuery.push_back(watcher->records);
        }
    };
    collect(view.domain, view.members);
    for (const auto &[domain, members] : view.remote)
        collect(domain, members);

    pending->openQueries = toQuery.size();
    if (toQuery.empty())
        return finish(pending);
    for (const Endpoint &records : toQuery)
        query(pending, records);
}

void QuarantineCheck::query(const std::shared_ptr<PendingCheck> &pending, const Endpoint &records)
{
    m_context.fetch(records, FetchStatus{}, [this, pending](const auto &message) {
        if (const auto *status = message ? std::get_if<DomainStatus>(&*message) : nullptr) {
            for (const MemberUpdate &member : status->members)
                pending->add(member);
        }
        if (--pending->openQueries == 0)
            finish(pending);
    });
}

void QuarantineCheck::finish(const std::shared_ptr<PendingCheck> &pending)
{
    Findings findings;
    for (const QuarantineUse &use : pending->uses) {
        std::string names;
        std::size_t behind = 0;
        for (const auto &[id, domain] : pending->live) {
            const auto passed = pending->passed.find(id);
            if (passed != pending->passed.end() && passed->second >= use.since)
                continue;
            if (++behind <= MaxNamedDaemons)
                names += (names.empty() ? "" : ", ") + std::to_string(id.value()) + " (" + domain
                         + ')';
        }
        if (behind == 0)
            continue;
        findings.push_back({use.place, "address " + toString(use.address)
                                           + " is in quarantine: " + std::to_string(behind)
                                           + " daemons are not known to have passed revision "
                                           + std::to_string(use.since.value()) + ": " + names});
    }
    pending->done(std::move(findings));
}

} // namespace baobabtrail
