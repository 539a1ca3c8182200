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

/// \brief Proposes the same change again at another daemon, as an operator without an answer does,
/// and checks that it is in force everywhere, exactly once.
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

// The platform fails in one way at one step while a change is being accepted: the proposing
// daemon's next 1, 2 or 100 calls of that kind fail, then the platform works again. Reported
// outcomes must be true, and a retry with the same change id must log the change exactly once.
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
                    if (lostFirst) // The record is read back only after a create without a reply.
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
                // The daemon itself resolves a single lost reply.
                const auto *accepted = net.get<ProposalAccepted>(id);
                if (fault == PlatformFault::ReplyLost && count == 1)
                    cr_expect(accepted && !accepted->repeated, "%s", cell.c_str());
                net.fault = nullptr;
                retryAndExpectInForce(net, "w", cell);
            }
        }
    }
}

// The proposing daemon is killed, restarted or frozen just before or just after it sends a platform
// call. The operator retries at another daemon with the same change id, and the change must be
// logged exactly once.
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

// Two operators, and then nine, propose changes at different daemons at the same time, all
// expecting the same revision. Exactly one succeeds; the others are refused with the id of the
// winning change.
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

// The same change id is proposed at two daemons at once, as by a tool that retries at another
// daemon while its first attempt is still in progress.
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
