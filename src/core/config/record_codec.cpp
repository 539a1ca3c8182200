#include "core/config/record_codec.h"

#include "core/config/impl/json_fields.h"

#include <boost/json/array.hpp>

#include <array>

namespace baobabtrail {

namespace {

namespace json = boost::json;
using impl::FieldReader;
using impl::FormatError;

// Each command has overloads of kindOf, nameOf, write and read; the templates below select them.

constexpr std::string_view kindOf(const DeclareWorkspace &)
{
    return "declare-tenant";
}
constexpr std::string_view kindOf(const DeclareService &)
{
    return "declare-service";
}
constexpr std::string_view kindOf(const AddTarget &)
{
    return "add-target";
}
constexpr std::string_view kindOf(const DrainTarget &)
{
    return "drain-target";
}
constexpr std::string_view kindOf(const UndrainTarget &)
{
    return "undrain-target";
}
constexpr std::string_view kindOf(const RetireTarget &)
{
    return "retire-target";
}
constexpr std::string_view kindOf(const RemoveTarget &)
{
    return "remove-target";
}
constexpr std::string_view kindOf(const CutTarget &)
{
    return "cut-target";
}
constexpr std::string_view kindOf(const SetLimits &)
{
    return "set-limits";
}
constexpr std::string_view kindOf(const SetWeight &)
{
    return "set-weight";
}
constexpr std::string_view kindOf(const MoveTarget &)
{
    return "move-target";
}
constexpr std::string_view kindOf(const RotateKeys &)
{
    return "rotate-keys";
}

constexpr std::string_view kindOf(const EvacuateDomain &)
{
    return "evacuate-domain";
}
constexpr std::string_view kindOf(const RestoreDomain &)
{
    return "restore-domain";
}

/// \brief Commands whose only argument is a failure domain.
template <typename T>
concept NamesDomainOnly = std::same_as<T, EvacuateDomain> || std::same_as<T, RestoreDomain>;

[[nodiscard]] std::string nameOf(const NamesDomainOnly auto &command)
{
    return command.domain;
}

[[nodiscard]] std::string nameOf(const DeclareWorkspace &command)
{
    return command.workspace;
}

[[nodiscard]] std::string nameOf(const RotateKeys &command)
{
    return "epoch " + std::to_string(command.epoch.value());
}

template <typename T>
requires requires(const T &command)
{
    command.target.target;
}
[[nodiscard]] std::string nameOf(const T &command)
{
    return toString(command.target);
}

template <typename T>
requires requires(const T &command)
{
    command.service.service;
}
[[nodiscard]] std::string nameOf(const T &command)
{
    return toString(command.service);
}

// Workspaces are called tenants in stored records.
[[nodiscard]] json::object toJson(const ServiceName &name)
{
    return {{"tenant", name.workspace}, {"service", name.service}};
}

[[nodiscard]] json::object toJson(const TargetName &name)
{
    json::object object = toJson(name.service);
    object["target"] = name.target;
    return object;
}

[[nodiscard]] ServiceName readServiceName(const FieldReader &fields)
{
    return {fields.text("tenant"), fields.text("service")};
}

[[nodiscard]] TargetName readTargetName(const FieldReader &fields)
{
    return {readServiceName(fields), fields.text("target")};
}

[[nodiscard]] json::object write(const DeclareWorkspace &command)
{
    return {{"tenant", command.workspace}, {"key-hash", command.keyHash}};
}
void read(const FieldReader &fields, DeclareWorkspace &command)
{
    command.workspace = fields.text("tenant");
    command.keyHash = fields.text("key-hash");
}

template <typename T>
requires requires(const T &command)
{
    command.service.service;
    command.limits;
}
[[nodiscard]] json::object write(const T &command)
{
    json::object object = toJson(command.service);
    object["limits"] = impl::toJson(command.limits);
    return object;
}
template <typename T>
requires requires(const T &command)
{
    command.service.service;
    command.limits;
}
void read(const FieldReader &fields, T &command)
{
    command.service = readServiceName(fields);
    command.limits = impl::readLimits(fields.object("limits"));
}

[[nodiscard]] json::object write(const AddTarget &command)
{
    json::object object = toJson(command.target);
    object["domain"] = command.domain;
    object["flows"] = toString(command.flows);
    object["requests"] = toString(command.requests);
    object["slots"] = command.slots;
    object["weight"] = command.weight;
    return object;
}
void read(const FieldReader &fields, AddTarget &command)
{
    command.target = readTargetName(fields);
    command.domain = fields.text("domain");
    command.flows = fields.endpoint("flows");
    command.requests = fields.endpoint("requests");
    command.slots = fields.number32("slots");
    command.weight = fields.number32("weight");
}

[[nodiscard]] json::object write(const RemoveTarget &command)
{
    json::object object = toJson(command.target);
    object["generation"] = command.generation.value();
    return object;
}
void read(const FieldReader &fields, RemoveTarget &command)
{
    command.target = readTargetName(fields);
    command.generation = Generation{fields.number("generation")};
}

[[nodiscard]] json::object write(const SetWeight &command)
{
    json::object object = toJson(command.target);
    object["weight"] = command.weight;
    return object;
}
void read(const FieldReader &fields, SetWeight &command)
{
    command.target = readTargetName(fields);
    command.weight = fields.number32("weight");
}

[[nodiscard]] json::object write(const MoveTarget &command)
{
    json::object object = toJson(command.target);
    object["to"] = toJson(command.to);
    return object;
}
void read(const FieldReader &fields, MoveTarget &command)
{
    command.target = readTargetName(fields);
    command.to = readServiceName(fields.object("to"));
}

[[nodiscard]] json::object write(const RotateKeys &command)
{
    return {{"epoch", command.epoch.value()}};
}
void read(const FieldReader &fields, RotateKeys &command)
{
    command.epoch = KeyEpoch{fields.number32("epoch")};
}

/// \brief Commands whose only argument is a target.
template <typename T>
concept NamesTargetOnly = std::same_as<T, DrainTarget> || std::same_as<
    T, UndrainTarget> || std::same_as<T, RetireTarget> || std::same_as<T, CutTarget>;

[[nodiscard]] json::object write(const NamesTargetOnly auto &command)
{
    return toJson(command.target);
}
void read(const FieldReader &fields, NamesTargetOnly auto &command)
{
    command.target = readTargetName(fields);
}

[[nodiscard]] json::object write(const NamesDomainOnly auto &command)
{
    return {{"domain", command.domain}};
}
void read(const FieldReader &fields, NamesDomainOnly auto &command)
{
    command.domain = fields.text("domain");
}

template <typename T>
[[nodiscard]] bool tryRead(const FieldReader &fields, std::string_view kind, Command &out)
{
    T command{};
    if (kind != kindOf(command))
        return false;
    read(fields, command);
    out = std::move(command);
    return true;
}

template <std::size_t... I>
[[nodiscard]] bool readAny(const FieldReader &fields, std::string_view kind, Command &out,
                           std::index_sequence<I...>)
{
    return (tryRead<std::variant_alternative_t<I, Command>>(fields, kind, out) || ...);
}

[[nodiscard]] Command readCommand(const json::value &value, const std::string &place)
{
    const FieldReader fields{value, place};
    const std::string kind = fields.text("kind");
    Command command;
    // The kind may come from a newer version. Skipping it would leave this daemon with another
    // configuration than other daemons have at that revision, so it must stop before the record.
    if (!readAny(fields, kind, command, std::make_index_sequence<std::variant_size_v<Command>>{}))
        fields.fail("unknown kind \"" + kind + '"');
    return command;
}

[[nodiscard]] json::object writeCommand(const Command &command)
{
    return std::visit(
        [](const auto &typed) {
            json::object object = write(typed);
            object["kind"] = kindOf(typed);
            return object;
        },
        command);
}

[[nodiscard]] ChangeRecord readRecord(const json::value &value, const std::string &place)
{
    const FieldReader fields{value, place};
    ChangeRecord record;
    record.revision = Revision{fields.number("revision")};
    record.changeId = fields.text("change");
    record.author = fields.text("author");
    record.workspace = fields.text("tenant");
    record.unixSeconds = fields.seconds("time");
    record.quarantineSeconds = fields.seconds("quarantine");
    for (const json::value &command : fields.array("commands")) {
        std::string commandPlace = place;
        commandPlace += ": command ";
        commandPlace += std::to_string(record.commands.size() + 1);
        record.commands.push_back(readCommand(command, commandPlace));
    }
    return record;
}

} // namespace

std::string toString(const ServiceName &name)
{
    return name.workspace + '/' + name.service;
}

std::string toString(const TargetName &name)
{
    return toString(name.service) + '/' + name.target;
}

std::string describe(const Command &command)
{
    return std::visit(
        [](const auto &typed) { return std::string{kindOf(typed)} + ' ' + nameOf(typed); },
        command);
}

std::string encodeRecord(const ChangeRecord &record)
{
    json::array commands;
    for (const Command &command : record.commands)
        commands.push_back(writeCommand(command));
    const json::object body{{"revision", record.revision.value()},
                            {"change", record.changeId},
                            {"author", record.author},
                            {"tenant", record.workspace},
                            {"time", record.unixSeconds},
                            {"quarantine", record.quarantineSeconds},
                            {"commands", std::move(commands)}};
    return impl::seal("record", body);
}

std::variant<ChangeRecord, Finding> decodeRecord(std::string_view text, const std::string &place)
{
    try {
        return readRecord(impl::unseal("record", text, place), place);
    } catch (const FormatError &error) {
        // The error's text begins with "place: ", which a finding holds separately.
        return Finding{place, std::string{error.what()}.substr(place.size() + 2)};
    }
}

} // namespace baobabtrail
