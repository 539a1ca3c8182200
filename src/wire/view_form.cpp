#include "wire/view_form.h"

#include <boost/json.hpp>

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

/// \brief Nothing that another process sends may end the daemon.
template <typename Result, typename Read>
[[nodiscard]] std::optional<Result> parsed(std::string_view text, Read read)
{
    try {
        const json::value root = json::parse({text.data(), text.size()});
        return read(root.as_object());
    } catch (const std::exception &) {
        return std::nullopt; // The caller counts it as no answer, and says so.
    }
}

} // namespace

std::string toJson(const PeerQuestion &question)
{
    json::object out{{"prefix", question.prefix},        {"after", question.after.value()},
                     {"wait_us", micros(question.wait)}, {"asker", textOf(question.asker)},
                     {"domain", question.domain},        {"origin", textOf(question.origin)},
                     {"pulse", question.pulse},          {"look", question.look}};
    if (question.age)
        out["age_us"] = micros(*question.age);
    return json::serialize(out);
}

std::string toJson(const PeerAnswer &answer)
{
    json::object out{{"domain", answer.domain}, {"age_us", micros(answer.age)}};
    if (!answer.redirect.empty()) {
        json::array &redirect = out["redirect"].emplace_array();
        for (const Endpoint &endpoint : answer.redirect)
            redirect.emplace_back(toString(endpoint));
        return json::serialize(out);
    }
    const CollectionChange &change = answer.delta.change;
    out["seated"] = answer.seated;
    out["origin"] = textOf(answer.lineage.origin);
    out["pulse"] = answer.lineage.pulse;
    json::array &path = out["path"].emplace_array();
    for (const Endpoint &endpoint : answer.lineage.path)
        path.emplace_back(toString(endpoint));
    out["version"] = change.version.value();
    out["complete"] = answer.delta.complete;
    out["after_outage"] = change.afterOutage;
    json::array &written = out["written"].emplace_array();
    for (const StoredObject &object : change.written)
        written.push_back(
            {{"key", object.key}, {"version", object.version.value()}, {"value", object.value}});
    out["removed"] = json::value_from(change.removed);
    return json::serialize(out);
}

std::optional<PeerQuestion> parseQuestion(std::string_view text)
{
    return parsed<PeerQuestion>(text, [](const json::object &root) {
        PeerQuestion question;
        question.prefix = textOf(root.at("prefix"));
        question.after = ObjectVersion{root.at("after").to_number<std::uint64_t>()};
        question.wait = Duration{root.at("wait_us").to_number<std::uint32_t>()};
        question.asker = endpointOf(root.at("asker"));
        question.domain = textOf(root.at("domain"));
        if (const json::value *origin = root.if_contains("origin")) {
            question.origin = endpointOf(*origin);
            question.pulse = root.at("pulse").to_number<std::uint64_t>();
            question.look = root.at("look").as_bool();
        }
        if (const json::value *age = root.if_contains("age_us"))
            question.age = Duration{age->to_number<std::int64_t>()};
        return question;
    });
}

std::optional<PeerAnswer> parseAnswer(std::string_view text)
{
    return parsed<PeerAnswer>(text, [](const json::object &root) {
        PeerAnswer answer;
        answer.domain = textOf(root.at("domain"));
        answer.age = Duration{root.at("age_us").to_number<std::int64_t>()};
        if (const json::value *redirect = root.if_contains("redirect")) {
            for (const json::value &address : redirect->as_array())
                answer.redirect.push_back(endpointOf(address));
            return answer;
        }
        if (const json::value *path = root.if_contains("path")) {
            answer.seated = root.at("seated").as_bool();
            answer.lineage.origin = endpointOf(root.at("origin"));
            answer.lineage.pulse = root.at("pulse").to_number<std::uint64_t>();
            for (const json::value &address : path->as_array())
                answer.lineage.path.push_back(endpointOf(address));
        }
        CollectionChange &change = answer.delta.change;
        change.version = ObjectVersion{root.at("version").to_number<std::uint64_t>()};
        answer.delta.complete = root.at("complete").as_bool();
        change.afterOutage = root.at("after_outage").as_bool();
        for (const json::value &value : root.at("written").as_array()) {
            const json::object &object = value.as_object();
            change.written.push_back(
                {textOf(object.at("key")), textOf(object.at("value")),
                 ObjectVersion{object.at("version").to_number<std::uint64_t>()}});
        }
        for (const json::value &key : root.at("removed").as_array())
            change.removed.push_back(textOf(key));
        return answer;
    });
}

} // namespace baobabtrail::wire
