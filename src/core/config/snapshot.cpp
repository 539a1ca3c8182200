#include "core/config/snapshot.h"

#include "core/config/impl/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace baobabtrail {

namespace {

namespace json = boost::json;
using impl::FieldReader;
using impl::FormatError;

/// Serialized size of the items in one shard, approximately.
constexpr std::size_t MaxShardItemBytes = 400'000;

[[nodiscard]] json::object toJson(const TargetConfig &target, ServiceId service)
{
    return {{"item", "target"},
            {"service", service.value()},
            {"id", target.id.value()},
            {"generation", target.generation.value()},
            {"name", target.name},
            {"domain", target.domain},
            {"flows", toString(target.flows)},
            {"requests", toString(target.requests)},
            {"state", static_cast<int>(target.state)},
            {"slots", target.slots},
            {"weight", target.weight},
            {"since", target.stateSince.value()},
            {"since-time", target.stateSinceUnixSeconds}};
}

[[nodiscard]] TargetConfig readTarget(const FieldReader &fields)
{
    TargetConfig target;
    target.id = TargetId{fields.number("id")};
    target.generation = Generation{fields.number("generation")};
    target.name = fields.text("name");
    target.domain = fields.text("domain");
    target.flows = fields.endpoint("flows");
    target.requests = fields.endpoint("requests");
    const std::uint32_t state = fields.number32("state");
    if (state > static_cast<std::uint32_t>(TargetState::Cut))
        fields.fail("unknown state " + std::to_string(state));
    target.state = static_cast<TargetState>(state);
    target.slots = fields.number32("slots");
    target.weight = fields.number32("weight");
    target.stateSince = Revision{fields.number("since")};
    target.stateSinceUnixSeconds = fields.seconds("since-time");
    return target;
}

// Workspaces are called tenants in stored snapshots.
[[nodiscard]] json::object toJson(const ServiceConfig &service)
{
    return {{"item", "service"},
            {"id", service.id.value()},
            {"tenant", service.workspace},
            {"name", service.name},
            {"limits", impl::toJson(service.limits)}};
}

[[nodiscard]] ServiceConfig readService(const FieldReader &fields)
{
    ServiceConfig service;
    service.id = ServiceId{fields.number("id")};
    service.workspace = fields.text("tenant");
    service.name = fields.text("name");
    service.limits = impl::readLimits(fields.object("limits"));
    return service;
}

[[nodiscard]] json::object toJson(const QuarantinedAddress &entry)
{
    return {{"item", "quarantine"},
            {"address", toString(entry.address)},
            {"service", entry.service.value()},
            {"since", entry.since.value()},
            {"until", entry.untilUnixSeconds}};
}

[[nodiscard]] QuarantinedAddress readQuarantine(const FieldReader &fields)
{
    return {fields.endpoint("address"), ServiceId{fields.number("service")},
            Revision{fields.number("since")}, fields.seconds("until")};
}

/// \brief Collects items into shards; starts a new shard when one is full.
class ShardPacker
{
public:
    void add(json::object item)
    {
        const std::size_t bytes = json::serialize(item).size();
        if (m_shards.empty() || m_bytes + bytes > MaxShardItemBytes) {
            m_shards.emplace_back();
            m_bytes = 0;
        }
        m_bytes += bytes;
        m_shards.back().push_back(std::move(item));
    }

    [[nodiscard]] std::vector<std::string> seal(Revision revision) &&
    {
        std::vector<std::string> sealed;
        for (json::array &items : m_shards) {
            const json::object body{{"revision", revision.value()},
                                    {"index", sealed.size()},
                                    {"count", m_shards.size()},
                                    {"items", std::move(items)}};
            sealed.push_back(impl::seal("shard", body));
        }
        return sealed;
    }

private:
    std::vector<json::array> m_shards;
    std::size_t m_bytes = 0;
};

/// \brief Reassembles a snapshot from its shards.
class ShardReader
{
public:
    void addShard(const std::string &text, std::size_t index, std::size_t count)
    {
        const std::string place = "snapshot shard " + std::to_string(index);
        const json::value body = impl::unseal("shard", text, place);
        const FieldReader fields{body, place};
        const Revision revision{fields.number("revision")};
        if (index == 0)
            m_snapshot.config.revision = revision;
        if (m_snapshot.config.revision != revision)
            fields.fail("is of another revision");
        if (fields.number("index") != index || fields.number("count") != count)
            fields.fail("is not shard " + std::to_string(index) + " of " + std::to_string(count));
        for (const json::value &item : fields.array("items"))
            addItem(FieldReader{item, place});
    }

    [[nodiscard]] Snapshot finish() && { return std::move(m_snapshot); }

private:
    void addItem(const FieldReader &fields)
    {
        Config &config = m_snapshot.config;
        const std::string kind = fields.text("item");
        if (kind == "keys")
            config.keyEpoch = KeyEpoch{fields.number32("epoch")};
        else if (kind == "tenant")
            config.workspaces[fields.text("name")] = {fields.text("name"), fields.text("key-hash")};
        else if (kind == "service")
            addService(readService(fields));
        else if (kind == "target")
            addTarget(fields);
        else if (kind == "evacuation")
            config.evacuations[fields.text("domain")]
                = {Revision{fields.number("since")}, fields.seconds("time")};
        else if (kind == "quarantine")
            config.quarantine.push_back(readQuarantine(fields));
        else if (kind == "change")
            m_snapshot.changes.push_back({fields.text("id"), Revision{fields.number("revision")}});
        else
            fields.fail("unknown item \"" + kind + '"');
    }

    void addService(ServiceConfig service)
    {
        const ServiceId id = service.id;
        m_snapshot.config.services[id] = std::move(service);
    }

    void addTarget(const FieldReader &fields)
    {
        const auto service = m_snapshot.config.services.find(ServiceId{fields.number("service")});
        if (service == m_snapshot.config.services.end())
            fields.fail("target of an unknown service");
        TargetConfig target = readTarget(fields);
        target.evacuated = m_snapshot.config.evacuations.contains(target.domain);
        const TargetId id = target.id;
        service->second.targets[id] = std::move(target);
    }

    Snapshot m_snapshot;
};

} // namespace

std::vector<std::string> encodeSnapshot(const Snapshot &snapshot)
{
    const Config &config = snapshot.config;
    ShardPacker packer;
    packer.add({{"item", "keys"}, {"epoch", config.keyEpoch.value()}});
    for (const auto &[name, workspace] : config.workspaces)
        packer.add({{"item", "tenant"}, {"name", name}, {"key-hash", workspace.keyHash}});
    // Evacuations precede targets: the reader sets TargetConfig::evacuated from them.
    for (const auto &[domain, evacuation] : config.evacuations)
        packer.add({{"item", "evacuation"},
                    {"domain", domain},
                    {"since", evacuation.since.value()},
                    {"time", evacuation.sinceUnixSeconds}});
    for (const auto &[id, service] : config.services) {
        packer.add(toJson(service));
        for (const auto &[targetId, target] : service.targets)
            packer.add(toJson(target, id));
    }
    for (const QuarantinedAddress &entry : config.quarantine)
        packer.add(toJson(entry));
    for (const AcceptedChange &change : snapshot.changes)
        packer.add(
            {{"item", "change"}, {"id", change.changeId}, {"revision", change.revision.value()}});
    return std::move(packer).seal(config.revision);
}

std::variant<Snapshot, Finding> decodeSnapshot(const std::vector<std::string> &shards)
{
    if (shards.empty())
        return Finding{"snapshot", "has no shards"};
    try {
        ShardReader reader;
        for (std::size_t i = 0; i < shards.size(); ++i)
            reader.addShard(shards[i], i, shards.size());
        return std::move(reader).finish();
    } catch (const FormatError &error) {
        return Finding{"snapshot", error.what()};
    }
}

SnapshotManifest makeManifest(Revision revision, const std::vector<std::string> &shards)
{
    SnapshotManifest manifest{revision, {}};
    for (const std::string &shard : shards)
        manifest.checksums.push_back(impl::checksum(shard));
    return manifest;
}

std::string encodeManifest(const SnapshotManifest &manifest)
{
    json::array checksums;
    for (const std::string &sum : manifest.checksums)
        checksums.push_back(json::value(sum));
    return impl::seal("manifest",
                      {{"revision", manifest.revision.value()}, {"shards", std::move(checksums)}});
}

std::variant<SnapshotManifest, Finding> decodeManifest(const std::string &text,
                                                       const std::string &place)
{
    try {
        const json::value body = impl::unseal("manifest", text, place);
        const FieldReader fields{body, place};
        SnapshotManifest manifest{Revision{fields.number("revision")}, {}};
        for (const json::value &sum : fields.array("shards")) {
            if (!sum.is_string())
                fields.fail("a checksum is not a string");
            manifest.checksums.emplace_back(sum.get_string().data(), sum.get_string().size());
        }
        return manifest;
    } catch (const FormatError &error) {
        return Finding{place, error.what()};
    }
}

} // namespace baobabtrail
