#include "core/config/record_codec.h"

#include "core/config/snapshot.h"
#include "support/change_builder.h"
#include "support/recompute_checksum.h"

#include <boost/algorithm/string/replace.hpp>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;

namespace {

[[nodiscard]] ChangeRecord everyCommand()
{
    const TargetName t1 = targetName("lending", "t1");
    const ServiceName lending = t1.service;
    ChangeRecord record
        = change("c-1", {DeclareWorkspace{"alexandria", "ab12"}, DeclareService{lending, {7, 8, 9}},
                         addTarget("lending", "t1", 1), DrainTarget{t1}, UndrainTarget{t1},
                         RetireTarget{t1}, RemoveTarget{t1, Generation{1ULL << 63}}, CutTarget{t1},
                         SetLimits{lending, {1, 2, 3}}, SetWeight{t1, 40},
                         MoveTarget{t1, {"alexandria", "catalogue"}}, RotateKeys{KeyEpoch{2}},
                         EvacuateDomain{"alx-raml"}, RestoreDomain{"alx-raml"}});
    record.revision = Revision{(1ULL << 63) + 5};
    record.author = "Ann \"quoted\" \xc3\xa9";
    record.workspace = "alexandria";
    record.unixSeconds = 1'800'000'000;
    record.quarantineSeconds = 30;
    return record;
}

[[nodiscard]] std::string findingOf(const std::string &text)
{
    const auto decoded = decodeRecord(text, "config/log/7");
    const auto *finding = std::get_if<Finding>(&decoded);
    return finding ? toString(*finding) : "";
}

} // namespace

Test(recordCodec, everyCommandRoundTrips)
{
    const ChangeRecord record = everyCommand();
    cr_assert(record.commands.size() == std::variant_size_v<Command>);
    const std::string text = encodeRecord(record);
    const auto decoded = decodeRecord(text, "here");
    const auto *read = std::get_if<ChangeRecord>(&decoded);
    cr_assert(read != nullptr, "%s", findingOf(text).c_str());
    cr_assert(encodeRecord(*read) == text);
    for (std::size_t i = 0; i < record.commands.size(); ++i)
        cr_assert(describe(read->commands[i]) == describe(record.commands[i]));
    cr_assert(std::get<RemoveTarget>(read->commands[6]).generation == Generation{1ULL << 63});
    cr_assert(std::get<SetLimits>(read->commands[8]).limits == (ServiceLimits{1, 2, 3}));
    cr_assert(read->author == record.author && read->workspace == record.workspace);
}

// The store may return a damaged object, or one that a newer version wrote. It must never be
// decoded as a different valid record, since daemons' configurations would then differ.
Test(recordCodec, anyChangedByteIsDetected)
{
    const std::string text = encodeRecord(everyCommand());
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char other : {'0', 'x', '"', ' '}) {
            std::string damaged = text;
            if (damaged[i] == other)
                continue;
            damaged[i] = other;
            cr_assert(!findingOf(damaged).empty(), "byte %zu as '%c' was accepted", i, other);
        }
        cr_assert(!findingOf(text.substr(0, i)).empty(), "the first %zu bytes alone were accepted",
                  i);
    }
}

Test(recordCodec, findingsNameThePlace)
{
    const std::string sealed = encodeRecord(everyCommand());
    cr_assert(findingOf("{").starts_with("config/log/7: is not JSON"));
    cr_assert(findingOf("[]") == "config/log/7: is not an object");
    const std::string unknown = boost::replace_first_copy(sealed, "drain-target", "train-target");
    cr_assert(findingOf(unknown) == "config/log/7: checksum does not match");
    cr_assert(findingOf(recomputeChecksum(unknown))
              == "config/log/7: command 4: unknown kind \"train-target\"");
    const std::string nameless = boost::replace_first_copy(sealed, "key-hash", "kay-hash");
    cr_assert(findingOf(recomputeChecksum(nameless))
              == "config/log/7: command 1: lacks \"key-hash\"");
}

Test(snapshot, roundTripsThroughShards)
{
    Snapshot snapshot;
    Config &config = snapshot.config;
    config.revision = Revision{900};
    config.keyEpoch = KeyEpoch{4};
    config.workspaces["alexandria"] = {"alexandria", "ab12"};
    const ServiceId lending = serviceId("alexandria", "lending");
    ServiceConfig &service = config.services[lending];
    service = {lending, "alexandria", "lending", {1, 2, 3}, {}};
    for (std::uint16_t i = 0; i < 4400; ++i) {
        TargetConfig target;
        target.name = "t" + std::to_string(i);
        target.id = targetId(lending, target.name);
        target.generation = Generation{i + 1ULL};
        target.domain = "alx-raml";
        target.flows = addressOf(i);
        target.requests = addressOf(i);
        target.state = static_cast<TargetState>(i % 4);
        target.stateSince = Revision{i + 3ULL};
        target.stateSinceUnixSeconds = 1'800'000'000 + i;
        service.targets[target.id] = target;
    }
    config.quarantine.push_back({addressOf(5000), lending, Revision{8}, 1'800'000'000});
    for (std::uint64_t i = 1; i <= 900; ++i)
        snapshot.changes.push_back({"change-" + std::to_string(i), Revision{i}});

    std::vector<std::string> shards = encodeSnapshot(snapshot);
    cr_assert(shards.size() > 1);
    for (const std::string &shard : shards)
        cr_assert(shard.size() < MaxObjectBytes, "a shard has %zu bytes", shard.size());
    const auto decoded = decodeSnapshot(shards);
    const auto *read = std::get_if<Snapshot>(&decoded);
    cr_assert(read != nullptr);
    cr_assert(read->config == config);
    cr_assert(read->changes == snapshot.changes);

    std::swap(shards[0], shards[1]);
    cr_assert(std::holds_alternative<Finding>(decodeSnapshot(shards)));
    std::swap(shards[0], shards[1]);
    shards.pop_back();
    cr_assert(std::holds_alternative<Finding>(decodeSnapshot(shards)));
}
