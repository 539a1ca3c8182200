#include "core/control/clearance.h"

#include "core/membership/watchers.h"

#include <algorithm>
#include <map>

namespace baobabtrail {

namespace {

constexpr std::size_t MaxNamed = 5; ///< Daemons that a finding names.

} // namespace

struct Clearance::Inquiry
{
    std::vector<QuarantineUse> uses;
    Proposer::Cleared done;
    std::map<DaemonId, std::string> live; ///< With their failure domains.
    std::map<DaemonId, Revision> passed;
    std::size_t openQuestions = 0;

    void add(const MemberUpdate &member)
    {
        live.emplace(member.daemon, member.domain);
        Revision &known = passed[member.daemon];
        known = std::max(known, member.revision);
    }
};

void Clearance::check(std::vector<QuarantineUse> uses, Proposer::Cleared done)
{
    auto inquiry = std::make_shared<Inquiry>();
    inquiry->uses = std::move(uses);
    inquiry->done = std::move(done);
    m_context.call(ListVms{}, [this, inquiry](const PlatformResult &result) {
        const auto *list = std::get_if<VmList>(&result);
        if (!list) {
            Findings findings;
            for (const QuarantineUse &use : inquiry->uses)
                findings.push_back({use.place, "address " + toString(use.address)
                                                   + " is in quarantine, and the VM list that says"
                                                     " which daemons are live can't be read"});
            return inquiry->done(std::move(findings));
        }
        m_swim.takeVmList(*list);
        for (const VmEntry &vm : list->vms)
            inquiry->live.emplace(vm.daemon, vm.domain);
        askDomains(inquiry);
    });
}

void Clearance::askDomains(const std::shared_ptr<Inquiry> &inquiry)
{
    for (const MemberUpdate &member : m_swim.statusMembers())
        inquiry->add(member);
    for (const MemberUpdate *member : m_swim.remote().present())
        inquiry->add(*member);

    const View view = m_swim.view();
    const std::size_t count = m_context.settings().watchersPerDomain;
    std::vector<Endpoint> toAsk;
    const auto collect = [&](const std::string &domain, const std::vector<Member> &members) {
        for (const Member *watcher : watchersOf(domain, members, count)) {
            if (watcher->id != view.self)
                toAsk.push_back(watcher->records);
        }
    };
    collect(view.domain, view.members);
    for (const auto &[domain, members] : view.remote)
        collect(domain, members);

    inquiry->openQuestions = toAsk.size();
    if (toAsk.empty())
        return conclude(inquiry);
    for (const Endpoint &records : toAsk)
        ask(inquiry, records);
}

void Clearance::ask(const std::shared_ptr<Inquiry> &inquiry, const Endpoint &records)
{
    m_context.fetch(records, FetchStatus{}, [this, inquiry](const auto &message) {
        if (const auto *status = message ? std::get_if<DomainStatus>(&*message) : nullptr) {
            for (const MemberUpdate &member : status->members)
                inquiry->add(member);
        }
        if (--inquiry->openQuestions == 0)
            conclude(inquiry);
    });
}

void Clearance::conclude(const std::shared_ptr<Inquiry> &inquiry)
{
    Findings findings;
    for (const QuarantineUse &use : inquiry->uses) {
        std::string names;
        std::size_t behind = 0;
        for (const auto &[id, domain] : inquiry->live) {
            const auto passed = inquiry->passed.find(id);
            if (passed != inquiry->passed.end() && passed->second >= use.since)
                continue;
            if (++behind <= MaxNamed)
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
    inquiry->done(std::move(findings));
}

} // namespace baobabtrail
