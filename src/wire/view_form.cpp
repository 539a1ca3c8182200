#include "wire/view_form.h"

#include "core/base64.h"
#include "core/bounded_json.h"
#include "core/directory/value_patch.h"
#include "core/directory/whole_copy.h"
#include "wire/answer_reader.h"
#include "wire/packed_text.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace baobabtrail::wire {

namespace json = boost::json;

namespace {

[[nodiscard]] std::int64_t micros(Duration duration) noexcept
{
    return duration.count();
}

[[nodiscard]] std::string textOf(const json::value &value)
{
    const json::string &text = value.as_string();
    return {text.data(), text.size()};
}

[[nodiscard]] Endpoint endpointOf(const json::value &value)
{
    const std::string text = textOf(value);
    const auto endpoint = parseEndpoint(text);
    if (!endpoint && !text.empty())
        throw std::runtime_error("not an address");
    return endpoint.value_or(Endpoint{});
}

[[nodiscard]] std::string textOf(const Endpoint &endpoint)
{
    return endpoint.isNull() ? std::string{} : toString(endpoint);
}

[[nodiscard]] json::array listOf(const std::vector<Endpoint> &endpoints)
{
    json::array out;
    for (const Endpoint &endpoint : endpoints)
        out.emplace_back(toString(endpoint));
    return out;
}

[[nodiscard]] std::vector<Endpoint> endpointsOf(const json::value &value)
{
    std::vector<Endpoint> out;
    for (const json::value &address : value.as_array())
        out.push_back(endpointOf(address));
    return out;
}

/// \brief Writes the addresses in the array that older releases read, and the failure domains in a
/// parallel array.
void appendReferrals(json::object &out, const std::vector<PeerReferral> &daemons)
{
    json::array addresses;
    json::array domains;
    for (const PeerReferral &daemon : daemons) {
        addresses.emplace_back(toString(daemon.address));
        domains.emplace_back(daemon.domain.value_or(""));
    }
    out["redirect"] = std::move(addresses);
    out["domains"] = std::move(domains);
}

/// \param domains Failure domains of the addresses; null if an older release sent the answer.
[[nodiscard]] std::vector<PeerReferral> referralsOf(const json::value &addresses,
                                                    const json::value *domains)
{
    std::vector<PeerReferral> out;
    for (const Endpoint &address : endpointsOf(addresses))
        out.push_back({address, std::nullopt});
    if (!domains)
        return out;
    const json::array &names = domains->as_array();
    for (std::size_t index = 0; index < std::min(out.size(), names.size()); ++index)
        out[index].domain = textOf(names[index]);
    return out;
}

[[nodiscard]] bool flagOf(const json::object &object, std::string_view name, bool fallback)
{
    const json::value *value = object.if_contains(name);
    return value ? value->as_bool() : fallback;
}

void appendPatch(json::object &answer, const ValuePatch &patch)
{
    json::value &list = answer["patches"];
    if (!list.is_array())
        list.emplace_array();
    list.get_array().push_back({{"key", patch.key},
                                {"base", patch.base.value()},
                                {"version", patch.version.value()},
                                {"bytes", toBase64(patch.bytes)}});
}

[[nodiscard]] std::vector<ValuePatch> patchesOf(const json::value &list)
{
    std::vector<ValuePatch> out;
    for (const json::value &value : list.as_array()) {
        const json::object &patch = value.as_object();
        out.push_back({textOf(patch.at("key")),
                       ObjectVersion{patch.at("base").to_number<std::uint64_t>()},
                       ObjectVersion{patch.at("version").to_number<std::uint64_t>()},
                       fromBase64(textOf(patch.at("bytes")))});
    }
    return out;
}

/// Key of the array with the second and later collections of a query or answer. The first stands in
/// the message itself, for compatibility with releases that query one collection at a time.
constexpr std::string_view Further = "also";

/// \brief Writes all but the objects.
void appendFields(json::object &out, const CollectionAnswer &answer)
{
    const CollectionChange &change = answer.delta.change;
    out["version"] = change.version.value();
    if (answer.delta.complete)
        out["complete"] = true;
    if (change.afterOutage)
        out["after_outage"] = true;
    if (answer.sinceStoreReturn)
        out["since_return_us"] = micros(*answer.sinceStoreReturn);
    if (!change.removed.empty())
        out["removed"] = json::value_from(change.removed);
    for (const ValuePatch &patch : answer.patches)
        appendPatch(out, patch);
}

[[nodiscard]] json::object jsonOf(const StoredObject &object)
{
    return {{"key", object.key}, {"version", object.version.value()}, {"value", object.value}};
}

void append(json::object &out, const CollectionAnswer &answer)
{
    appendFields(out, answer);
    const std::vector<StoredObject> &objects = answer.delta.change.written;
    if (objects.empty())
        return;
    json::array &written = out["written"].emplace_array();
    for (const StoredObject &object : objects)
        written.push_back(jsonOf(object));
}

using ObjectLists = std::vector<std::vector<StoredObject>>;

/// \param lists Lists of objects, each of which is used once.
[[nodiscard]] CollectionAnswer collectionAnswerOf(const json::object &in, ObjectLists &lists)
{
    CollectionAnswer answer;
    CollectionChange &change = answer.delta.change;
    change.version = ObjectVersion{in.at("version").to_number<std::uint64_t>()};
    answer.delta.complete = flagOf(in, "complete", false);
    change.afterOutage = flagOf(in, "after_outage", false);
    if (const json::value *since = in.if_contains("since_return_us"))
        answer.sinceStoreReturn = Duration{since->to_number<std::uint32_t>()};
    if (const json::value *removed = in.if_contains("removed"))
        change.removed = json::value_to<std::vector<std::string>>(*removed);
    if (const json::value *patches = in.if_contains("patches"))
        answer.patches = patchesOf(*patches);
    if (const json::value *written = in.if_contains("written"))
        change.written = std::move(lists.at(written->to_number<std::size_t>()));
    return answer;
}

void append(json::object &out, const CollectionQuery &query)
{
    out["prefix"] = query.prefix;
    out["after"] = query.after.value();
}

[[nodiscard]] CollectionQuery collectionQueryOf(const json::object &in)
{
    return {textOf(in.at("prefix")), ObjectVersion{in.at("after").to_number<std::uint64_t>()}};
}

/// \brief Writes the collections: the first into the message itself, the rest into an array.
template <typename Collection>
void appendAll(json::object &out, const std::vector<Collection> &collections)
{
    if (collections.empty())
        return;
    append(out, collections.front());
    if (collections.size() == 1)
        return;
    json::array &further = out[Further].emplace_array();
    for (std::size_t index = 1; index < collections.size(); ++index) {
        json::object each;
        append(each, collections[index]);
        further.push_back(std::move(each));
    }
}

/// \brief Reads the collections that appendAll() wrote.
template <typename Read>
[[nodiscard]] auto readAll(const json::object &in, Read read)
{
    std::vector<decltype(read(in))> out{read(in)};
    const json::value *further = in.if_contains(Further);
    if (!further)
        return out;
    for (const json::value &each : further->as_array())
        out.push_back(read(each.as_object()));
    return out;
}

/// \return The fields of the answer without its collections.
[[nodiscard]] json::object headOf(const PeerAnswer &answer)
{
    json::object out{{"domain", answer.domain}, {"age_us", micros(answer.age)}};
    if (answer.isEmpty)
        out["blank"] = true;
    if (!answer.redirect.empty()) {
        appendReferrals(out, answer.redirect);
        return out;
    }
    if (!answer.hasSlot)
        out["seated"] = false;
    if (!answer.lineage.path.empty())
        out["path"] = listOf(answer.lineage.path);
    if (!answer.lineage.origin.isNull()) {
        out["origin"] = textOf(answer.lineage.origin);
        out["pulse"] = answer.lineage.heartbeat;
    }
    return out;
}

/// \brief Writes the members of a collection without braces. Each object is serialized by itself:
/// the text of all together would take as much memory again.
void writeMembers(TextPacker &packer, const CollectionAnswer &answer)
{
    json::object fields;
    appendFields(fields, answer);
    const std::string text = json::serialize(fields);
    packer.write(std::string_view{text}.substr(1, text.size() - 2));
    packer.write(R"(,"written":[)");
    std::string_view separator;
    for (const StoredObject &object : answer.delta.change.written) {
        packer.write(separator);
        packer.write(json::serialize(jsonOf(object)));
        separator = ",";
    }
    packer.write("]");
}

/// \return The packed text of an answer from the first collection on.
[[nodiscard]] std::string packCollections(const std::vector<CollectionAnswer> &collections)
{
    TextPacker packer;
    writeMembers(packer, collections.front());
    packer.write(",\"" + std::string{Further} + "\":[");
    for (std::size_t index = 1; index < collections.size(); ++index) {
        packer.write(index == 1 ? "{" : ",{");
        writeMembers(packer, collections[index]);
        packer.write("}");
    }
    packer.write("]}");
    return packer.finish();
}

/// \brief Parses JSON and converts exceptions to an empty result, so that no input from another
/// process can terminate the daemon.
template <typename Result, typename Read>
[[nodiscard]] std::optional<Result> parsed(std::string_view text, Read read)
{
    try {
        const json::value root = parseBounded(text);
        return read(root.as_object());
    } catch (const std::exception &) {
        return std::nullopt; // The caller treats and reports it as a missing answer.
    }
}

/// \return The answer that the reader has read.
[[nodiscard]] PeerAnswer answerOf(const json::object &root, ObjectLists &lists)
{
    PeerAnswer answer;
    answer.domain = textOf(root.at("domain"));
    answer.age = Duration{root.at("age_us").to_number<std::int64_t>()};
    answer.isEmpty = flagOf(root, "blank", false);
    if (const json::value *redirect = root.if_contains("redirect")) {
        answer.redirect = referralsOf(*redirect, root.if_contains("domains"));
        return answer;
    }
    answer.hasSlot = flagOf(root, "seated", true);
    if (const json::value *path = root.if_contains("path"))
        answer.lineage.path = endpointsOf(*path);
    if (const json::value *origin = root.if_contains("origin")) {
        answer.lineage.origin = endpointOf(*origin);
        answer.lineage.heartbeat = root.at("pulse").to_number<std::uint64_t>();
    }
    if (!answer.isEmpty)
        answer.collections = readAll(
            root, [&lists](const json::object &in) { return collectionAnswerOf(in, lists); });
    return answer;
}

/// \param write Writes the text into the reader.
[[nodiscard]] std::optional<PeerAnswer> answerFrom(const std::function<void(AnswerReader &)> &write)
{
    try {
        AnswerReader reader;
        write(reader);
        const json::value root = reader.finish();
        return answerOf(root.as_object(), reader.lists());
    } catch (const std::exception &) {
        return std::nullopt; // The caller treats and reports it as a missing answer.
    }
}

} // namespace

// Fields with default values are omitted: a daemon sends several queries per second, and its
// control traffic may use no more than 2 KB per second.
std::string toJson(const PeerQuery &query)
{
    json::object out{{"asker", textOf(query.querier)}, {"domain", query.domain}};
    appendAll(out, query.collections);
    if (query.wait > Duration{0})
        out["wait_us"] = micros(query.wait);
    if (query.age)
        out["age_us"] = micros(*query.age);
    if (!query.origin.isNull()) {
        out["origin"] = textOf(query.origin);
        out["pulse"] = query.heartbeat;
    }
    if (query.oneShot)
        out["look"] = true;
    if (query.patches)
        out["patches"] = true;
    if (query.whole && query.lacksAllCopies())
        out["whole"] = true;
    return json::serialize(out);
}

std::string toJson(const PeerAnswer &answer)
{
    json::object out = headOf(answer);
    appendAll(out, answer.whole ? answer.whole->collections() : answer.collections);
    return json::serialize(out);
}

std::optional<std::string> pack(const PeerAnswer &answer)
{
    try {
        if (answer.whole) {
            // Both parts together are the text of one object.
            std::string head = json::serialize(headOf(answer));
            head.back() = ',';
            return packText(head) + answer.whole->packed(packCollections);
        }
        const std::string text = toJson(answer);
        return text.size() < MinPatchedBytes ? std::nullopt : std::optional{packText(text)};
    } catch (const std::runtime_error &) {
        return std::nullopt; // Out of memory: the text is sent unpacked.
    }
}
std::optional<PeerQuery> parseQuery(std::string_view text)
{
    return parsed<PeerQuery>(text, [](const json::object &root) {
        PeerQuery query;
        query.collections = readAll(root, collectionQueryOf);
        query.querier = endpointOf(root.at("asker"));
        query.domain = textOf(root.at("domain"));
        if (const json::value *wait = root.if_contains("wait_us"))
            query.wait = Duration{wait->to_number<std::uint32_t>()};
        if (const json::value *age = root.if_contains("age_us"))
            query.age = Duration{age->to_number<std::int64_t>()};
        if (const json::value *origin = root.if_contains("origin")) {
            query.origin = endpointOf(*origin);
            query.heartbeat = root.at("pulse").to_number<std::uint64_t>();
        }
        query.oneShot = flagOf(root, "look", false);
        query.patches = flagOf(root, "patches", false);
        query.whole = flagOf(root, "whole", false);
        return query;
    });
}

std::optional<PeerAnswer> parseAnswer(std::string_view text)
{
    return answerFrom([text](AnswerReader &reader) { reader.write(text); });
}

std::optional<PeerAnswer> parsePackedAnswer(std::string_view bytes)
{
    return answerFrom([bytes](AnswerReader &reader) {
        unpackText(bytes, [&reader](std::string_view text) { reader.write(text); });
    });
}

} // namespace baobabtrail::wire
