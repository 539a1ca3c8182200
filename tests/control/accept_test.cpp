#include "support/cluster.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t Proposer = 4;

void expectNoViolations(const FakeControlNet &net, const std::string &cell)
{
    for (const std::string &violation : net.violations())
        cr_expect(false, "%s: %s", cell.c_str(), violation.c_str());
}

/// \brief Asks for the change once more at another daemon, as an operator does who got no answer,
/// and checks that it is in force everywhere, once.
void retryAndExpectInForce(Cluster &net, const std::string &id, const std::string &cell)
{
    const ProposalId again = net.propose(7, weightChange(id, 50));
    cr_expect(net.runUntil([&] { return net.outcome(again) != nullptr; }, 10s), "%s: no outcome",
              cell.c_str());
    const auto *accepted = net.get<ProposalAccepted>(again);
    cr_expect(accepted != nullptr, "%s: not accepted in the end", cell.c_str());
    net.run(15s);
    cr_expect(accepted && net.everywhere(accepted->revision), "%s: not in force everywhere",
              cell.c_str());
    expectNoViolations(net, cell);
}

struct FaultName
{
    PlatformFault fault;
    const char *name;
};
constexpr std::array<FaultName, 5> CallFaults{{{PlatformFault::Down, "down"},
                                               {PlatformFault::Slow, "slow"},
                                               {PlatformFault::RateLimited, "rate-limited"},
                                               {PlatformFault::ReplyLost, "reply lost"},
                                               {PlatformFault::WriteDelayed, "write delayed"}}};
constexpr std::array<std::pair<CallKind, const char *>, 3> AcceptSteps{
    {{CallKind::List, "reading the log"},
     {CallKind::Create, "creating the record"},
     {CallKind::Read, "reading it back"}}};

} // namespace

Test(accept, healthyChangeIsInForceWithinTwoSeconds)
{
    for (std::size_t proposer = 0; proposer < 9; ++proposer) {
        Cluster net;
        const ProposalId id = net.propose(proposer, weightChange("w", 50));
        cr_assert(net.runUntil([&] { return net.everywhere(Revision{2}); }, 2s));
        net.run(1s);
        const auto *accepted = net.get<ProposalAccepted>(id);
        cr_assert(accepted && !accepted->repeated && accepted->revision == Revision{2});
        const ProposalId again = net.propose((proposer + 5) % 9, weightChange("w", 50));
        net.run(1s);
        accepted = net.get<ProposalAccepted>(again);
        cr_assert(accepted && accepted->repeated && accepted->revision == Revision{2});
        expectNoViolations(net, "healthy");
    }
}

// An operator asks for a change while the platform fails in one way at one step of accepting it.
// Each daemon's next calls of that kind meet the fault, then the platform works again. Whatever the
// operator is told must be true; asking again with the same id must give the change, once.
Test(accept, everyPlatformFaultAtEveryStep)
{
    for (const auto &[fault, faultName] : CallFaults) {
        for (const auto &[kind, stepName] : AcceptSteps) {
            for (const int count : {1, 2, 100}) {
                const std::string cell
                    = std::string{faultName} + " × " + stepName + " × " + std::to_string(count);
                Cluster net;
                int left = count;
                net.fault = [&, hit = kind, how = fault](std::size_t node,
                                                         const PlatformRequest &request) {
                    const bool lostFirst = hit == CallKind::Read && left > 0 && node == Proposer
                                           && kindOf(request) == CallKind::Create;
                    if (lostFirst) // Nothing is read back unless a create got no answer.
                        return PlatformFault::ReplyLost;
                    if (node != Proposer || kindOf(request) != hit || left == 0)
                        return PlatformFault::None;
                    --left;
                    return how;
                };
                const ProposalId id = net.propose(Proposer, weightChange("w", 50));
                net.run(14s);
                cr_expect(net.outcome(id) != nullptr, "%s: no outcome", cell.c_str());
                cr_expect(!net.get<ProposalRefused>(id), "%s: refused", cell.c_str());
                // A reply that was lost once is resolved by the daemon itself.
                const auto *accepted = net.get<ProposalAccepted>(id);
                if (fault == PlatformFault::ReplyLost && count == 1)
                    cr_expect(accepted && !accepted->repeated, "%s", cell.c_str());
                net.fault = nullptr;
                retryAndExpectInForce(net, "w", cell);
            }
        }
    }
}

// The daemon that an operator asked dies, is restarted or stands still for a while, just before or
// just after one of its calls leaves. The operator asks another daemon with the same change id.
Test(accept, proposerKilledRestartedOrFrozenAtEveryStep)
{
    enum class NodeFault { Kill, Restart, Freeze };
    for (const NodeFault nodeFault : {NodeFault::Kill, NodeFault::Restart, NodeFault::Freeze}) {
        for (const auto &[kind, stepName] : AcceptSteps) {
            for (const bool callLeaves : {false, true}) {
                const std::string cell = std::to_string(static_cast<int>(nodeFault)) + " at "
                                         + stepName + (callLeaves ? " after" : " before");
                Cluster net;
                bool injected = false;
                const auto inject = [&] {
                    injected = true;
                    if (nodeFault == NodeFault::Freeze)
                        net.freeze(Proposer);
                    else
                        net.kill(Proposer);
                };
                net.fault = [&, hit = kind](std::size_t node, const PlatformRequest &request) {
                    const bool create = node == Proposer && kindOf(request) == CallKind::Create;
                    if (hit == CallKind::Read && create)
                        return PlatformFault::ReplyLost;
                    if (node == Proposer && kindOf(request) == hit && callLeaves && !injected)
                        inject();
                    return PlatformFault::None;
                };
                net.observe = [&, hit = kind](std::size_t node, const ControlAction &action) {
                    const auto *call = std::get_if<PlatformCall>(&action);
                    if (call && node == Proposer && kindOf(call->request) == hit && !callLeaves
                        && !injected)
                        inject();
                };
                net.propose(Proposer, weightChange("w", 50));
                net.run(12s);
                cr_expect(injected, "%s: did not happen", cell.c_str());
                net.fault = nullptr;
                net.observe = nullptr;
                const ProposalId again = net.propose(7, weightChange("w", 50));
                net.run(3s);
                cr_expect(net.get<ProposalAccepted>(again) != nullptr, "%s", cell.c_str());
                if (nodeFault == NodeFault::Freeze)
                    net.thaw(Proposer);
                if (nodeFault == NodeFault::Restart)
                    net.start(Proposer);
                retryAndExpectInForce(net, "w", cell);
            }
        }
    }
}

// Two operators, and then nine, ask for changes at different daemons in the same instant, all with
// the revision that they saw. One of them gets it; the others are told whose change came first.
Test(accept, racingOperatorsHaveOneWinnerNamedToTheOthers)
{
    for (const std::size_t operators : {2, 9}) {
        Cluster net{operators};
        std::vector<ProposalId> ids;
        for (std::size_t i = 0; i < operators; ++i)
            ids.push_back(net.propose(i, weightChange("op" + std::to_string(i), 10), Revision{1}));
        net.run(5s);
        std::size_t winner = operators;
        for (std::size_t i = 0; i < operators; ++i) {
            if (!net.get<ProposalAccepted>(ids[i]))
                continue;
            cr_assert(winner == operators, "two winners");
            winner = i;
        }
        cr_assert(winner < operators, "no winner");
        for (std::size_t i = 0; i < operators; ++i) {
            if (i == winner)
                continue;
            const auto *refused = net.get<ProposalRefused>(ids[i]);
            cr_assert(refused && refused->winner == "op" + std::to_string(winner));
        }
        cr_assert(net.everywhere(Revision{2}));
        expectNoViolations(net, "race");
    }
}

Test(accept, concurrentChangesWithoutExpectedRevisionAllSucceed)
{
    Cluster net;
    std::vector<ProposalId> ids;
    for (int round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < 9; ++i)
            ids.push_back(net.propose(
                i, weightChange("op" + std::to_string(round) + '-' + std::to_string(i), 10)));
    }
    net.run(5s);
    for (const ProposalId id : ids)
        cr_assert(net.get<ProposalAccepted>(id) != nullptr);
    cr_assert(net.everywhere(Revision{28}));
    expectNoViolations(net, "race");
}

// Two daemons are asked for one change with one id, as by an operator whose tool tries again
// elsewhere while the first try is still under way.
Test(accept, sameChangeProposedTwiceConcurrentlyIsLoggedOnce)
{
    Cluster net;
    const ProposalId first = net.propose(1, weightChange("w", 50));
    const ProposalId second = net.propose(5, weightChange("w", 50));
    net.run(2s);
    const auto *a = net.get<ProposalAccepted>(first);
    const auto *b = net.get<ProposalAccepted>(second);
    cr_assert(a && b && a->revision == b->revision);
    expectNoViolations(net, "twice at once");
}

Test(accept, refusalsAndPreviewsChangeNothing)
{
    Cluster net;
    const ProposalId wrong = net.propose(2, change("x", {UndrainTarget{T1}, DrainTarget{{}}}));
    const ProposalId dry = net.propose(2, change("y", {DrainTarget{T1}}), Revision{1}, true);
    const ProposalId old = net.propose(3, change("z", {DrainTarget{T1}}), Revision{0});
    std::string huge(900'000, 'a');
    ChangeRecord large = change("l", {DrainTarget{T1}});
    large.author = huge + huge;
    const ProposalId tooLarge = net.propose(3, large);
    net.run(5s);
    const auto *refused = net.get<ProposalRefused>(wrong);
    cr_assert(refused && refused->findings.size() >= 2 && refused->latest == Revision{1});
    const auto *preview = net.get<ProposalPreview>(dry);
    cr_assert(preview && preview->effects.size() == 1);
    cr_assert(preview->effects[0] == "drain-target alexandria/lending/t1: active → draining");
    refused = net.get<ProposalRefused>(old);
    cr_assert(refused && refused->winner == "declare");
    cr_assert(net.get<ProposalRefused>(tooLarge) != nullptr);
    cr_assert(net.everywhere(Revision{1}) && !net.everywhere(Revision{2}));
    expectNoViolations(net, "refusals");
}
