#include "support/cluster.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

constexpr std::size_t CutOff = 8;

/// \brief Takes lending's target out of service, by a cut before a move or by retiring and
/// removing. \return The change that claims its address for catalogue.
[[nodiscard]] ChangeRecord takeOutOfService(Cluster &net, bool move)
{
    if (move) {
        cr_assert(!net.accept(0, change("cut", {CutTarget{T1}})).isNull());
        return change("take", {MoveTarget{T1, {"alexandria", "catalogue"}}});
    }
    cr_assert(!net.accept(0, change("retire", {RetireTarget{T1}})).isNull());
    cr_assert(!net.accept(4, change("remove", {RemoveTarget{T1, Generation{1}}})).isNull());
    return change("take", {addTarget("catalogue", "t1", 1)});
}

} // namespace

// A target leaves lending and its address is claimed for catalogue while one daemon is cut off or
// frozen, and so still sends lending's packets to that address. The claim must be refused, naming
// the daemon, until it is back and has applied the revision, its VM is no longer listed, or ten
// minutes have passed.
Test(quarantine, addressStaysQuarantinedWhileADaemonIsCutOff)
{
    enum class End { Returns, Unlisted, TimeOver };
    for (const bool frozen : {false, true}) {
        for (const bool move : {false, true}) {
            for (const End end : {End::Returns, End::Unlisted, End::TimeOver}) {
                Cluster net;
                if (frozen)
                    net.freeze(CutOff);
                else
                    net.cutNode(CutOff);
                const ChangeRecord claim = takeOutOfService(net, move);
                net.run(60s); // Long enough for its peers to consider it dead.
                for (const std::size_t proposer : {0, 4, 7}) {
                    const ProposalId id = net.propose(proposer, claim);
                    net.run(12s);
                    const auto *refused = net.get<ProposalRefused>(id);
                    cr_assert(refused != nullptr && refused->findings.size() == 1);
                    const std::string &finding = refused->findings[0];
                    cr_assert(finding.find("is in quarantine: 1 daemons") != std::string::npos
                                  && finding.find("9 (alx-agami)") != std::string::npos,
                              "%s", finding.c_str());
                }
                if (end == End::Unlisted)
                    net.unlist(CutOff);
                if (end == End::TimeOver)
                    net.run(10min);
                if (end == End::Returns) {
                    net.healAll();
                    net.thaw(CutOff);
                    net.run(15s);
                }
                const Revision revision = net.accept(4, claim);
                cr_assert(!revision.isNull(), "frozen %d, move %d, end %d", frozen, move,
                          static_cast<int>(end));
                net.run(12s);
                cr_assert(net.problems().empty(), "%s", net.problems().c_str());
            }
        }
    }
}

// With every daemon reachable the address is free within seconds, whichever daemon the claim is
// proposed at; the same service may reuse it at once, even while a daemon is cut off.
Test(quarantine, addressIsFreeOnceEveryDaemonHasPassed)
{
    for (const std::size_t proposer : {0, 4, 8}) {
        Cluster net;
        const ChangeRecord claim = takeOutOfService(net, false);
        net.run(10s);
        const ProposalId id = net.propose(proposer, claim);
        net.run(1s);
        cr_assert(net.get<ProposalAccepted>(id) != nullptr);

        Cluster other;
        other.cutNode(CutOff);
        (void)takeOutOfService(other, false);
        const ProposalId back
            = other.propose(proposer % 8, change("b", {addTarget("lending", "t1", 1)}));
        other.run(1s);
        cr_assert(other.get<ProposalAccepted>(back) != nullptr);
    }
}

// While the VM list can't be read, it is unknown which daemons are live, so the claim is refused.
Test(quarantine, addressStaysQuarantinedWhileTheVmListIsUnreadable)
{
    Cluster net;
    const ChangeRecord claim = takeOutOfService(net, false);
    net.run(10s);
    net.fault = [](std::size_t, const PlatformRequest &request) {
        return kindOf(request) == CallKind::ListVms ? PlatformFault::Down : PlatformFault::None;
    };
    const ProposalId id = net.propose(0, claim);
    net.run(12s);
    const auto *refused = net.get<ProposalRefused>(id);
    cr_assert(refused && refused->findings[0].find("can't be read") != std::string::npos);
    cr_assert(net.problems().empty(), "%s", net.problems().c_str());
}
