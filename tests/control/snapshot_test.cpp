#include "core/config/log_keys.h"
#include "core/config/log_reader.h"
#include "support/cluster.h"

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

[[nodiscard]] ControlSettings smallSnapshots()
{
    ControlSettings settings;
    settings.snapshotEvery = 8;
    return settings;
}

[[nodiscard]] std::vector<StoredObject> snapshotObjectsOf(const Cluster &net)
{
    std::vector<StoredObject> objects;
    for (const auto &[key, object] : net.platform.objects) {
        if (key.starts_with(SnapshotPrefix))
            objects.push_back(object);
    }
    return objects;
}

[[nodiscard]] std::vector<StoredSnapshot> snapshotsOf(const Cluster &net)
{
    return completeSnapshots(snapshotObjectsOf(net));
}

[[nodiscard]] Revision oldestRecord(const Cluster &net)
{
    const auto first = net.platform.objects.lower_bound(std::string{LogPrefix});
    return parseLogKey(first->first).value_or(Revision{});
}

void makeChanges(Cluster &net, int count, const std::string &prefix)
{
    for (int i = 0; i < count; ++i) {
        cr_assert(!net.accept(4, weightChange(prefix + std::to_string(i), 50)).isNull());
        net.run(15s);
    }
}

} // namespace

// The log is truncated up to the second newest snapshot. A daemon that starts afterwards, and one
// that was frozen meanwhile, must reach the newest revision and still recognise the ids of old
// changes.
Test(snapshot, everyDaemonReachesTheNewestRevisionAfterCompaction)
{
    Cluster net{2, 3, smallSnapshots()};
    net.freeze(7);
    makeChanges(net, 40, "a");
    cr_assert(!snapshotsOf(net).empty());
    cr_assert(oldestRecord(net) == Revision{1}, "a young record was deleted");
    net.run(2h);
    makeChanges(net, 40, "b");
    net.run(5min);
    cr_assert(snapshotsOf(net).size() == 2, "%zu snapshots", snapshotsOf(net).size());
    cr_assert(oldestRecord(net) > Revision{32});
    cr_assert(oldestRecord(net) <= Revision{snapshotsOf(net)[0].revision.value() + 1});

    net.thaw(7);
    net.restart(2);
    for (const char *domain : {"alx-smouha", "alx-agami"})
        net.cutDomains("alx-raml", domain);
    net.restart(0);
    cr_assert(net.runUntil([&] { return net.everywhere(Revision{81}); }, 10s));
    const ProposalId old = net.propose(0, weightChange("a0", 50));
    net.run(2s);
    cr_assert(net.get<ProposalAccepted>(old) && net.get<ProposalAccepted>(old)->repeated);
    net.run(10s);
    cr_assert(net.problems().empty(), "%s", net.problems().c_str());
}

// All daemons are replaced at once after the log was truncated, so that the configuration is left
// only on the platform.
Test(snapshot, wholeSystemStartsFromSnapshotAndLog)
{
    for (const bool newestDamaged : {false, true}) {
        Cluster net{2, 3, smallSnapshots()};
        makeChanges(net, 20, "a");
        net.run(2h);
        makeChanges(net, 20, "b");
        net.run(5min);
        cr_assert(oldestRecord(net) > Revision{1});
        for (std::size_t node = 0; node < 9; ++node)
            net.kill(node);
        if (newestDamaged) {
            const Revision newest = snapshotsOf(net).back().revision;
            net.platform.objects.at(shardKey(newest, 0)).value[50] ^= 1;
        }
        net.startAll();
        cr_assert(net.runUntil([&] { return net.everywhere(Revision{41}); }, 10s));
        cr_assert(net.problems().empty(), "%s", net.problems().c_str());
    }
}

// The daemon that writes a snapshot is killed after some of its objects. The incomplete snapshot
// must not be used, and another daemon must write a complete one.
Test(snapshot, writerKilledHalfWayLeavesNothingUsable)
{
    Cluster net{2, 3, smallSnapshots()};
    bool injected = false;
    std::vector<StoredObject> left;
    net.observe = [&](std::size_t node, const ControlAction &action) {
        const auto *call = std::get_if<PlatformCall>(&action);
        const auto *create = call ? std::get_if<CreateObject>(&call->request) : nullptr;
        if (injected || !create || !create->key.ends_with("manifest"))
            return;
        injected = true;
        left = snapshotObjectsOf(net);
        net.kill(node);
    };
    for (int i = 0; i < 12 && !injected; ++i) {
        cr_assert(!net.accept(4, weightChange("w" + std::to_string(i), 50)).isNull());
        net.run(15s);
    }
    cr_assert(injected);
    cr_assert(!left.empty() && completeSnapshots(left).empty());
    const std::size_t proposer = net.alive(4) ? 4 : 5;
    for (int i = 0; i < 12; ++i) {
        cr_assert(!net.accept(proposer, weightChange("v" + std::to_string(i), 50)).isNull());
        net.run(15s);
    }
    cr_assert(!snapshotsOf(net).empty());
    cr_assert(net.problems().empty(), "%s", net.problems().c_str());
}
