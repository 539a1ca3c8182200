#include "language/impl/queries.h"

#include "language/filter_rows.h"
#include "language/impl/tables.h"

#include <algorithm>

namespace baobabtrail::language::impl {

namespace {

[[nodiscard]] Result tableOf(const Backend &backend, Table table)
{
    switch (table) {
    case Table::Services:
        return servicesTable(backend);
    case Table::Targets:
        return targetsTable(backend);
    case Table::Daemons:
        return daemonsTable(backend);
    case Table::Changes:
        return changesTable(backend);
    case Table::Drains:
        return drainsTable(backend);
    case Table::Domains:
        return domainsTable(backend);
    case Table::Load:
        return {
            Status::Refused,
            {"only daemons with direct forwarding report their load to each other; show targets "
             "has the load of this daemon's targets"},
            {},
            {}};
    case Table::Distribution:
        return {Status::Refused,
                {"only daemons with direct forwarding have their view from each other; ask for the "
                 "revision"},
                {},
                {}};
    }
    return {};
}

/// \brief Removes the rows of other workspaces, which a caller with a workspace's key must not see.
void keepVisible(Result &result, const Caller &caller)
{
    // The tables' columns call workspaces tenants.
    const auto workspace = columnOf(result, "tenant");
    if (caller.workspace.empty() || !workspace)
        return;
    std::erase_if(result.rows,
                  [&](const auto &row) { return row[*workspace] != caller.workspace; });
}

struct OutcomeText
{
    const std::string &changeId;

    Result operator()(const ProposalAccepted &outcome) const
    {
        const std::string revision = std::to_string(outcome.revision.value());
        const std::string text = outcome.repeated ? "was accepted before as revision " + revision
                                                  : "accepted as revision " + revision;
        return Result{Status::Done,
                      {"change " + changeId + ' ' + text},
                      {"change", "revision"},
                      {{changeId, revision}}};
    }

    Result operator()(const ProposalRefused &outcome) const
    {
        Result result{Status::Refused, outcome.findings, {}, {}};
        if (!outcome.winner.empty())
            result.messages.push_back("change " + outcome.winner + " was accepted first");
        result.messages.push_back("the newest revision is "
                                  + std::to_string(outcome.latest.value()));
        return result;
    }

    Result operator()(const ProposalUnknown &outcome) const
    {
        return Result{Status::Unknown,
                      {outcome.what, "ask again with the change id " + changeId
                                         + " to learn whether it was accepted"},
                      {},
                      {}};
    }

    Result operator()(const ProposalPreview &outcome) const
    {
        Result result{Status::Done, outcome.effects, {}, {}};
        result.messages.push_back("dry run on revision " + std::to_string(outcome.latest.value())
                                  + ": nothing was changed");
        return result;
    }
};

} // namespace

Result showTable(const Backend &backend, const Caller &caller, const Show &show)
{
    Result result = tableOf(backend, show.table);
    keepVisible(result, caller);
    return filterRows(std::move(result), show.filters);
}

Result revisionTable(const std::vector<DomainStatus> &domains)
{
    Result result;
    result.columns = {"domain", "daemon", "state", "revision", "config-age"};
    for (const DomainStatus &domain : domains) {
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(domain.configAge);
        for (const MemberUpdate &member : domain.members) {
            result.rows.push_back({domain.domain, std::to_string(member.daemon.value()),
                                   toString(member.state), std::to_string(member.revision.value()),
                                   std::to_string(age.count()) + " s"});
        }
    }
    return result;
}

Result changeStatus(const Backend &backend, const Caller &caller, const std::string &changeId,
                    const std::vector<DomainStatus> &domains)
{
    const std::vector<ChangeRecord> changes = backend.recentChanges();
    const auto found = std::find_if(changes.begin(), changes.end(), [&](const auto &record) {
        const bool visible = caller.workspace.empty() || record.workspace == caller.workspace;
        return visible && record.changeId == changeId;
    });
    if (found == changes.end()) {
        return Result{Status::Unknown,
                      {"no change " + changeId + " among those kept at this daemon"},
                      {},
                      {}};
    }
    std::size_t inForce = 0;
    std::size_t known = 0;
    for (const DomainStatus &domain : domains) {
        for (const MemberUpdate &member : domain.members) {
            if (member.state == MemberState::Dead)
                continue;
            ++known;
            inForce += member.revision >= found->revision ? 1 : 0;
        }
    }
    const std::string revision = std::to_string(found->revision.value());
    return Result{
        Status::Done,
        {"change " + changeId + " is revision " + revision + ", in force on "
         + std::to_string(inForce) + " of " + std::to_string(known) + " daemons"},
        {"change", "revision", "author", "in-force", "daemons"},
        {{changeId, revision, found->author, std::to_string(inForce), std::to_string(known)}}};
}

Result proposalResult(const ProposalOutcome &outcome, const std::string &changeId)
{
    return std::visit(OutcomeText{changeId}, outcome);
}

} // namespace baobabtrail::language::impl
