#include "core/config/apply.h"
#include "core/config/config_log.h"
#include "core/config/record_codec.h"
#include "support/change_builder.h"

#include <set>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

const TargetName T1 = targetName("lending", "t1");

/// \brief A configuration to which the tests apply one record after another.
struct ConfigFixture
{
    Config config;
    std::int64_t unixSeconds = 1000;

    [[nodiscard]] ApplyResult attempt(std::vector<Command> commands,
                                      const std::string &workspace = {})
    {
        ChangeRecord record = change("c", std::move(commands));
        record.revision = Revision{config.revision.value() + 1};
        record.unixSeconds = unixSeconds;
        record.workspace = workspace;
        return applyRecord(config, record);
    }
    void apply(std::vector<Command> commands)
    {
        ApplyResult result = attempt(std::move(commands));
        cr_assert(result.findings.empty(), "%s", toString(result.findings.front()).c_str());
        config = std::move(result.next);
    }
    [[nodiscard]] const TargetConfig *target(const TargetName &name) const
    {
        const ServiceId service = serviceId(name.service.workspace, name.service.service);
        return config.target(service, targetId(service, name.target));
    }
};

[[nodiscard]] ConfigFixture declaredFixture()
{
    ConfigFixture fixture;
    fixture.apply(declaration().commands);
    return fixture;
}

void expectFinding(const ApplyResult &result, const std::string &part)
{
    std::string all;
    for (const Finding &finding : result.findings)
        all += toString(finding) + '\n';
    cr_assert(all.find(part) != std::string::npos, "expected \"%s\" in:\n%s", part.c_str(),
              all.c_str());
}

} // namespace

Test(apply, everyFindingIsReportedWithItsPlace)
{
    ConfigFixture fixture = declaredFixture();
    const ServiceName nowhere{"alexandria", "nowhere"};
    AddTarget taken = addTarget("lending", "t9", 1);
    AddTarget wrong = addTarget("lending", "-x", 7);
    wrong.slots = 0;
    wrong.flows = Endpoint{};
    const std::vector<std::pair<Command, std::string>> refused{
        {DeclareWorkspace{"", "ab"}, "command 1 (declare-tenant ): tenant name \"\" is empty"},
        {DeclareWorkspace{"viti", "no hash"}, "key hash is not hexadecimal"},
        {DeclareService{{"alexandria", "lending"}, {}}, "is declared already"},
        {DeclareService{{"viti", "boarding"}, {}}, "unknown tenant \"viti\""},
        {DeclareService{nowhere, {0, 0, 101}}, "tenant share is 0, expected 1 to 10000"},
        {SetLimits{nowhere, {}}, "unknown service \"alexandria/nowhere\""},
        {DrainTarget{targetName("lending", "t2")}, "unknown target \"alexandria/lending/t2\""},
        {addTarget("lending", "t1", 2), "(add-target alexandria/lending/t1): is a target already"},
        {taken, "is in use by alexandria/lending/t1"},
        {wrong, "target name \"-x\" does not begin with a letter or digit"},
        {wrong, "slots is 0"},
        {wrong, "flows address is missing"},
        {UndrainTarget{T1}, "is active already"},
        {RemoveTarget{T1, Generation{1}}, "is active, expected retiring"},
        {SetWeight{T1, 10001}, "weight is 10001, expected 0 to 10000"},
        {MoveTarget{T1, {"alexandria", "catalogue"}}, "is active: only a target that is cut"},
        {MoveTarget{T1, {"alexandria", "lending"}}, "already"},
        {RotateKeys{KeyEpoch{3}}, "expected epoch 2"},
        {RotateKeys{KeyEpoch{}}, "epoch 0"},
        {EvacuateDomain{"nowhere"}, "no target is in it"},
        {EvacuateDomain{""}, "failure domain name \"\" is empty"},
        {RestoreDomain{"alx-raml"}, "is not evacuated"},
    };
    std::vector<Command> all;
    for (const auto &[command, finding] : refused) {
        expectFinding(fixture.attempt({command}), finding);
        all.push_back(command);
    }
    const ApplyResult together = fixture.attempt(all);
    cr_assert(together.findings.size() >= refused.size());
    expectFinding(together, "command 18 (rotate-keys epoch 3): expected epoch 2");

    expectFinding(fixture.attempt({}), "commands: there are none");
    ChangeRecord unnamed = change("", {DrainTarget{T1}});
    unnamed.revision = Revision{7};
    expectFinding(applyRecord(fixture.config, unnamed), "change id: is empty");
    expectFinding(applyRecord(fixture.config, unnamed), "revision: is not the one after 1");
}

// An evacuation must survive a start from a snapshot, and must include targets that are added to
// the domain while it lasts.
Test(apply, evacuationLastsUntilRestored)
{
    ConfigFixture fixture = declaredFixture();
    fixture.apply({EvacuateDomain{"alx-raml"}});
    expectFinding(fixture.attempt({EvacuateDomain{"alx-raml"}}), "is evacuated already");
    expectFinding(fixture.attempt({RestoreDomain{"alx-raml"}}, "alexandria"),
                  "may not change this");
    fixture.apply({addTarget("lending", "t2", 2)});
    const auto decoded = decodeSnapshot(encodeSnapshot({fixture.config, {}}));
    cr_assert(std::get<Snapshot>(decoded).config == fixture.config);
    for (const char *name : {"t1", "t2"})
        cr_assert(!fixture.target(targetName("lending", name))->takesWork());
    fixture.apply({RestoreDomain{"alx-raml"}});
    for (const char *name : {"t1", "t2"})
        cr_assert(fixture.target(targetName("lending", name))->takesWork());
}

Test(apply, onlyListedStateChangesAreAllowed)
{
    using enum TargetState;
    const std::vector<std::pair<TargetState, Command>> commands{{Draining, DrainTarget{T1}},
                                                                {Active, UndrainTarget{T1}},
                                                                {Retiring, RetireTarget{T1}},
                                                                {Cut, CutTarget{T1}}};
    const std::set<std::pair<TargetState, TargetState>> allowed{
        {Active, Draining}, {Draining, Active}, {Active, Retiring}, {Draining, Retiring},
        {Cut, Retiring},    {Active, Cut},      {Draining, Cut},    {Retiring, Cut}};
    for (const auto &[from, reach] : commands) {
        ConfigFixture fixture = declaredFixture();
        if (from == Active)
            fixture.apply({SetWeight{T1, 5}});
        else
            fixture.apply({reach});
        for (const auto &[to, command] : commands) {
            const ApplyResult result = fixture.attempt({command});
            cr_assert((allowed.contains({from, to})) == result.findings.empty(), "%s → %s",
                      std::string{toString(from)}.c_str(), std::string{toString(to)}.c_str());
            if (!result.findings.empty())
                continue;
            const ServiceId lending = serviceId("alexandria", "lending");
            const TargetConfig *changed = result.next.target(lending, targetId(lending, "t1"));
            cr_assert(changed->state == to && changed->stateSince == Revision{3});
        }
    }
}

// The owner of a retiring target finds it empty and stalls before it proposes the removal.
// Meanwhile the target is removed and another one added under its name. The late removal names the
// old generation; if it were applied, it would remove a target that is in use.
Test(apply, lateRemovalOfAnOldGenerationIsRefused)
{
    ConfigFixture fixture = declaredFixture();
    fixture.apply({RetireTarget{T1}});
    fixture.apply({RemoveTarget{T1, Generation{1}}});
    cr_assert(fixture.target(T1) == nullptr);
    fixture.apply({addTarget("lending", "t1", 1)});
    fixture.apply({RetireTarget{T1}});
    expectFinding(fixture.attempt({RemoveTarget{T1, Generation{1}}}), "is of generation 4, not 1");
    fixture.apply({RemoveTarget{T1, Generation{4}}});
}

// A daemon with an older configuration still sends lending's packets to a removed target's address.
// The same service may reuse the address at once. Reuse by another service is reported to whoever
// accepts the record, until the quarantine expires.
Test(apply, addressesOfARemovedTargetAreQuarantined)
{
    ConfigFixture fixture = declaredFixture();
    fixture.apply({RetireTarget{T1}});
    fixture.apply({RemoveTarget{T1, Generation{1}}});
    cr_assert(fixture.config.quarantine.size() == 1);

    cr_assert(fixture.attempt({addTarget("lending", "t2", 1)}).quarantined.empty());
    const ApplyResult other = fixture.attempt({addTarget("catalogue", "t1", 1)});
    cr_assert(other.findings.empty() && other.quarantined.size() == 1);
    // The removed target received no new work from this revision on.
    cr_assert(other.quarantined[0].since == Revision{2});
    cr_assert(other.next.quarantine.empty());

    fixture.unixSeconds += 600;
    cr_assert(fixture.attempt({addTarget("catalogue", "t1", 1)}).quarantined.empty());
}

Test(apply, addressesOfAMovedTargetAreQuarantined)
{
    ConfigFixture fixture = declaredFixture();
    fixture.apply({CutTarget{T1}});
    const ApplyResult moved = fixture.attempt({MoveTarget{T1, {"alexandria", "catalogue"}}});
    cr_assert(moved.findings.empty() && moved.quarantined.size() == 1);
    cr_assert(moved.quarantined[0].since == Revision{2});
    const ServiceId catalogue = serviceId("alexandria", "catalogue");
    const TargetConfig *target = moved.next.target(catalogue, targetId(catalogue, "t1"));
    cr_assert(target && target->state == TargetState::Active);
    cr_assert(target->generation == Generation{3} && target->flows == addressOf(1));
    cr_assert(moved.next.service(serviceId("alexandria", "lending"))->targets.empty());
}

Test(apply, workspaceKeyChangesOnlyItsOwnServices)
{
    ConfigFixture fixture = declaredFixture();
    fixture.apply({DeclareWorkspace{"viti", "cd"}, DeclareService{{"viti", "boarding"}, {}}});
    cr_assert(fixture.attempt({DrainTarget{T1}}, "alexandria").findings.empty());
    const std::vector<Command> foreign{DrainTarget{T1},
                                       addTarget("lending", "t3", 3),
                                       DeclareService{{"alexandria", "x"}, {}},
                                       SetLimits{{"alexandria", "lending"}, {}},
                                       DeclareWorkspace{"viti", "ef"},
                                       RotateKeys{KeyEpoch{2}}};
    for (const Command &command : foreign)
        expectFinding(fixture.attempt({command}, "viti"), "the key of tenant \"viti\"");
    fixture.apply({CutTarget{T1}});
    expectFinding(fixture.attempt({MoveTarget{T1, {"viti", "boarding"}}}, "alexandria"),
                  "the key of tenant \"alexandria\"");
}

// A daemon may receive records late, twice and out of order, and snapshots of an older revision.
// The revision in force must increase one by one and never revert.
Test(configLog, revisionOnlyIncreases)
{
    ConfigLog log;
    std::vector<std::string> texts;
    std::vector<std::string> oldSnapshot;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        ChangeRecord record = i == 1 ? declaration()
                                     : change("c" + std::to_string(i),
                                              {SetWeight{T1, static_cast<std::uint32_t>(i)}});
        record.revision = Revision{i};
        texts.push_back(encodeRecord(record));
    }
    cr_assert(std::holds_alternative<RecordGap>(log.append(Revision{2}, texts[1])));
    cr_assert(std::holds_alternative<RecordInvalid>(log.append(Revision{1}, texts[1])));
    cr_assert(log.revision().isNull());
    for (std::uint64_t i = 1; i <= 3; ++i) {
        cr_assert(std::holds_alternative<RecordApplied>(log.append(Revision{i}, texts[i - 1])));
        cr_assert(std::holds_alternative<RecordAlreadyApplied>(log.append(Revision{1}, texts[0])));
        if (i == 1)
            oldSnapshot = encodeSnapshot(log.snapshot());
    }
    cr_assert(!log.install(oldSnapshot));
    cr_assert(log.revision() == Revision{3});
    cr_assert(log.revisionOf("c3") == Revision{3} && log.changeIdAt(Revision{2}) == "c2");

    ConfigLog booted;
    cr_assert(!booted.install(encodeSnapshot(log.snapshot())));
    cr_assert(*booted.config() == *log.config());
    cr_assert(booted.revisionOf("c3") == Revision{3});
    cr_assert(booted.serve({Revision{1}, 64}).snapshotRevision == Revision{3});
    cr_assert(log.serve({Revision{1}, 64}).records.size() == 2);
}
