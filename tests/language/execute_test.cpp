#include "language/backend.h"

#include <deque>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::language;

namespace {

/// \brief Backend with two workspaces of one service each, whose answers a test sets.
struct FakeBackend
{
    std::shared_ptr<Config> config = std::make_shared<Config>();
    std::shared_ptr<View> view = std::make_shared<View>();
    std::vector<ChangeRecord> changes;
    std::deque<std::vector<DomainStatus>> statuses; ///< One for each query; the last is repeated.
    ProposalOutcome outcome = ProposalAccepted{Revision{4}, false};
    Propose proposed;
    std::int64_t now = 1000;
    bool listed = true;
    std::optional<FlowToken> token;
    TokenError tokenError = TokenError::None;

    FakeBackend()
    {
        addService("alexandria", "lending", TargetState::Draining);
        addService("vitilevu", "boarding", TargetState::Active);
    }

    void addService(const std::string &workspace, const std::string &name, TargetState state)
    {
        ServiceConfig service{serviceId(workspace, name), workspace, name, {}, {}};
        TargetConfig target;
        target.id = targetId(service.id, "t1");
        target.name = "t1";
        target.domain = "alx-raml";
        target.state = state;
        service.targets.emplace(target.id, target);
        config->services.emplace(service.id, service);
    }

    [[nodiscard]] Backend backend()
    {
        Backend made;
        made.config = [this] { return config; };
        // As in the daemon, each call returns a new view that lives only while the caller holds it.
        made.view = [this] { return std::make_shared<const View>(*view); };
        made.listed = [this] { return listed; };
        made.recentChanges = [this] { return changes; };
        made.targetStatus = [] { return std::vector<TargetStatus>{}; };
        made.propose = [this](Propose proposal, const auto &done) {
            proposed = std::move(proposal);
            done(outcome);
        };
        made.domainStatus = [this](const auto &done) {
            const auto answer = statuses.front();
            if (statuses.size() > 1)
                statuses.pop_front();
            done(answer);
        };
        made.metrics = [] { return std::string{"metrics"}; };
        made.after = [this](Duration, const auto &then) {
            ++now;
            then();
        };
        made.readFlowToken = [this](const std::string &) { return token; };
        made.checkFlowToken = [this](FlowId, const FlowToken &) { return tokenError; };
        made.unixSeconds = [this] { return now; };
        return made;
    }

    [[nodiscard]] Result run(const std::string &text, const std::string &workspace = {})
    {
        Request request{text, "c1", std::nullopt, false, {"ada", workspace}};
        Result result;
        const Backend made = backend();
        execute(made, request, [&result](const Result &answer) { result = answer; });
        return result;
    }
};

[[nodiscard]] DomainStatus domainAt(const std::string &name, Revision revision)
{
    DomainStatus status;
    status.domain = name;
    MemberUpdate member;
    member.daemon = DaemonId{7};
    member.revision = revision;
    status.members.push_back(member);
    return status;
}

} // namespace

Test(execute, filtersKeepOnlyMatchingRowsAndRefuseUnknownColumns)
{
    FakeBackend fake;
    cr_assert_eq(fake.run("show targets").rows.size(), 2U);
    cr_assert_eq(fake.run("show targets where service = alexandria/lending").rows.size(), 1U);
    cr_assert_eq(fake.run("show targets where state != draining and tenant = vitilevu").rows.size(),
                 1U);
    cr_assert_eq(fake.run("show drains").rows.size(), 1U);
    const Result refused = fake.run("show daemons where tenant = x and state = y");
    cr_assert(refused.status == Status::Usage);
    cr_assert_eq(refused.messages.size(), 1U);
}

Test(execute, aWorkspaceSeesOnlyItsOwn)
{
    FakeBackend fake;
    cr_assert_eq(fake.run("show targets", "vitilevu").rows.size(), 1U);
    cr_assert_eq(fake.run("show drains", "vitilevu").rows.size(), 0U);
}

Test(execute, changeCarriesIdAuthorAndWorkspace)
{
    FakeBackend fake;
    const Result result = fake.run("drain target alexandria/lending/t1", "alexandria");
    cr_assert(result.status == Status::Done);
    cr_assert(fake.proposed.draft.changeId == "c1");
    cr_assert(fake.proposed.draft.author == "ada");
    cr_assert(fake.proposed.draft.workspace == "alexandria");
    cr_assert_eq(fake.proposed.draft.commands.size(), 1U);
}

Test(execute, outcomesHaveStatusesOfTheirOwn)
{
    FakeBackend fake;
    fake.outcome = ProposalRefused{{"command 1: no such target"}, "c0", Revision{9}};
    const Result refused = fake.run("drain target a/b/c");
    cr_assert(refused.status == Status::Refused);
    cr_assert_eq(refused.messages.size(), 3U);
    fake.outcome = ProposalUnknown{"the platform does not answer"};
    cr_assert(fake.run("drain target a/b/c").status == Status::Unknown);
    cr_assert(fake.run("drain target").status == Status::Usage);
}

Test(execute, waitEndsWhenEveryDaemonHasTheRevision)
{
    FakeBackend fake;
    fake.statuses = {{domainAt("alx-raml", Revision{3})}, {domainAt("alx-raml", Revision{4})}};
    cr_assert(fake.run("wait for revision 4 timeout 10s").status == Status::Done);
}

// The daemons of an unreachable failure domain may still serve by an older revision. The wait must
// not succeed because none of them answers, and must name the domain.
Test(execute, waitNamesADomainThatDoesNotAnswer)
{
    FakeBackend fake;
    Member remote;
    remote.id = DaemonId{9};
    fake.view->remote["alx-agami"].push_back(remote);
    fake.statuses = {{domainAt("alx-raml", Revision{4})}};
    const Result result = fake.run("wait for revision 4 timeout 3s");
    cr_assert(result.status == Status::Unknown);
    cr_assert(result.messages.back().find("alx-agami did not answer") != std::string::npos);
}

// An operator looks into a flow that stopped working, by its token. The answer says whether the
// token is valid, which target it names and where the flow's datagrams go.
Test(execute, explainsWhereAFlowGoes)
{
    FakeBackend fake;
    const ServiceId lending = serviceId("alexandria", "lending");
    const TargetId target = targetId(lending, "t1");
    const Generation generation{5};
    fake.config->services[lending].targets[target].generation = generation;
    fake.token = FlowToken{lending, target, generation, *parseEndpoint("10.0.0.1:80"), {}, {}, {}};
    const auto explained
        = [&fake](const char *workspace) { return fake.run("explain flow 42 00", workspace); };
    cr_assert(explained("").messages.back() == "its datagrams go to 10.0.0.1:80");
    cr_assert(explained("vitilevu").status == Status::Refused);
    fake.config->services[lending].targets[target].state = TargetState::Cut;
    cr_assert(explained("").messages.back().ends_with("the target was cut"));
    fake.tokenError = TokenError::BadMac;
    cr_assert(explained("").status == Status::Refused);
    fake.token.reset();
    cr_assert(explained("").status == Status::Refused);
}

// A daemon that has just started knows only itself, because the platform's list of VMs lags. It
// must not report a revision as in force everywhere.
Test(execute, waitDoesNotTrustAViewBeforeTheListShowedTheDaemon)
{
    FakeBackend fake;
    fake.listed = false;
    fake.statuses = {{domainAt("alx-raml", Revision{4})}};
    cr_assert(fake.run("wait for revision 4 timeout 3s").status == Status::Unknown);
}

Test(execute, changeFateCountsDaemons)
{
    FakeBackend fake;
    ChangeRecord record;
    record.revision = Revision{4};
    record.changeId = "c1";
    record.workspace = "alexandria";
    fake.changes.push_back(record);
    fake.statuses = {{domainAt("alx-raml", Revision{4}), domainAt("alx-agami", Revision{3})}};
    const Result result = fake.run("show change c1");
    cr_assert(result.status == Status::Done);
    cr_assert(result.rows.front()[3] == "1" && result.rows.front()[4] == "2");
    cr_assert(fake.run("show change c1", "vitilevu").status == Status::Unknown);
    cr_assert(fake.run("show change c2").status == Status::Unknown);
}
