#include "platform/platform_service.h"

#include "support/process.h"

#include <sodium.h>

namespace baobabtrail::standins {

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr std::string_view VmPath = "/control/vms/";

[[nodiscard]] std::string base64(const std::string &bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string out(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
                      bytes.size(), variant);
    out.pop_back(); // the terminating zero
    return out;
}

[[nodiscard]] HttpResponse listResponse(const std::vector<Object> &objects, std::uint64_t latest)
{
    boost::json::array entries;
    for (const Object &object : objects)
        entries.push_back(
            {{"key", object.key}, {"value", base64(object.value)}, {"version", object.version}});
    return jsonResponse({{"objects", std::move(entries)}, {"latest", latest}});
}

[[nodiscard]] HttpResponse tagged(http::status status, std::uint64_t version,
                                  const std::string &body = {})
{
    HttpResponse out = response(status, body);
    out.set(http::field::etag, '"' + std::to_string(version) + '"');
    return out;
}

[[nodiscard]] std::string header(const HttpRequest &request, http::field field)
{
    const auto value = request[field];
    return {value.data(), value.size()};
}

[[nodiscard]] bool isWrite(const HttpRequest &request)
{
    return request.method() == http::verb::put || request.method() == http::verb::delete_;
}

} // namespace

PlatformService::PlatformService(boost::asio::io_context &context, std::uint64_t seed,
                                 Switches switches)
    : m_context(context)
    , m_random(seed)
    , m_switches(switches)
{
    m_writes.set(switches.writesPerSecond);
    m_reads.set(switches.readsPerSecond);
}

void PlatformService::handle(const HttpRequest &request, const HttpReply &reply)
{
    const UrlParts url = parseUrl({request.target().data(), request.target().size()});
    try {
        if (url.path.starts_with("/control/"))
            control(request, url, reply);
        else
            serve(request, url, slowed(reply));
    } catch (const std::exception &error) {
        reply(response(http::status::bad_request, std::string{error.what()} + '\n'));
    }
}

void PlatformService::control(const HttpRequest &request, const UrlParts &url,
                              const HttpReply &reply)
{
    if (url.path == "/control/counts") {
        reply(jsonResponse(boost::json::value_from(m_counts)));
        return;
    }
    if (url.path == "/control/switches") {
        setSwitches(boost::json::parse(request.body()).as_object());
        reply(response(http::status::no_content));
        return;
    }
    if (!url.path.starts_with(VmPath)) {
        reply(response(http::status::not_found));
        return;
    }
    const std::uint64_t daemon = std::stoull(url.path.substr(VmPath.size()));
    if (request.method() == http::verb::delete_)
        m_vms.erase(daemon, now());
    else
        m_vms.put(daemon, boost::json::parse(request.body()).as_object(), now());
    reply(response(http::status::no_content));
}

void PlatformService::setSwitches(const boost::json::object &values)
{
    for (const auto &[name, value] : values) {
        if (name == "down")
            m_switches.down = value.as_bool();
        else if (name == "slow")
            m_switches.slow = value.to_number<std::uint64_t>();
        else if (name == "loseReplies")
            m_switches.loseReplies = value.to_number<std::uint64_t>();
        else if (name == "writesPerSecond")
            m_writes.set(value.to_number<double>());
        else if (name == "readsPerSecond")
            m_reads.set(value.to_number<double>());
        else if (name == "silentWatch")
            m_switches.silentWatch = value.as_bool();
        else if (name == "vmLag")
            m_switches.vmLag = value.to_number<std::uint64_t>();
        else
            throw std::invalid_argument("no switch " + std::string{name});
    }
    if (!m_switches.down)
        return;
    for (const auto &[id, watch] : m_watches)
        watch.reply(std::nullopt);
    m_watches.clear();
}

HttpReply PlatformService::slowed(HttpReply reply)
{
    if (m_switches.slow == 0)
        return reply;
    const Duration delay = exponential(m_random, std::chrono::milliseconds{m_switches.slow});
    return [this, delay, reply = std::move(reply)](std::optional<HttpResponse> response) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, reply, response = std::move(response)](
                              boost::system::error_code) { reply(response); });
    };
}

bool PlatformService::allowed(const HttpRequest &request, const HttpReply &reply)
{
    if (m_switches.down) {
        count("dropped");
        reply(std::nullopt);
        return false;
    }
    RateLimit &limit = isWrite(request) ? m_writes : m_reads;
    if (limit.allow(now()))
        return true;
    count("refused");
    HttpResponse refusal = response(http::status::too_many_requests);
    refusal.set(http::field::retry_after, "1");
    reply(std::move(refusal));
    return false;
}

void PlatformService::serve(const HttpRequest &request, const UrlParts &url, const HttpReply &reply)
{
    if (!allowed(request, reply))
        return;
    if (url.path.starts_with(ObjectsPath)) {
        object(request, url.path.substr(ObjectsPath.size()), reply);
    } else if (url.path == "/v1/objects") {
        count("list");
        const auto objects
            = m_store.list(url.text("prefix"), url.text("after"), url.number("limit", 100));
        reply(listResponse(objects, m_store.latest()));
    } else if (url.path == "/v1/watch") {
        count("watch");
        watch(url, reply);
    } else if (url.path == "/v1/vms") {
        count("vms");
        reply(jsonResponse(m_vms.list(now(), std::chrono::milliseconds{m_switches.vmLag})));
    } else {
        reply(response(http::status::not_found));
    }
}

void PlatformService::object(const HttpRequest &request, const std::string &key,
                             const HttpReply &reply)
{
    if (request.method() == http::verb::put) {
        write(request, key, reply);
        return;
    }
    if (request.method() == http::verb::delete_) {
        count("delete");
        const bool erased = m_store.erase(key);
        reply(response(erased ? http::status::no_content : http::status::not_found));
        return;
    }
    count("read");
    const Object *object = m_store.find(key);
    if (object)
        reply(tagged(http::status::ok, object->version, object->value));
    else
        reply(response(http::status::not_found));
}

void PlatformService::write(const HttpRequest &request, const std::string &key,
                            const HttpReply &reply)
{
    const bool creates = header(request, http::field::if_none_match) == "*";
    const std::string tag = header(request, http::field::if_match);
    if (!creates && tag.size() < 3) {
        reply(response(http::status::precondition_required));
        return;
    }
    count(creates ? "create" : "update");
    const auto version
        = creates ? m_store.create(key, request.body())
                  : m_store.update(key, request.body(), std::stoull(tag.substr(1, tag.size() - 2)));
    if (version)
        answerWatches();
    if (version && m_switches.loseReplies > 0) {
        --m_switches.loseReplies;
        count("lostReply");
        reply(std::nullopt);
        return;
    }
    if (version)
        reply(tagged(creates ? http::status::created : http::status::ok, *version));
    else
        reply(response(http::status::precondition_failed));
}

void PlatformService::watch(const UrlParts &url, const HttpReply &reply)
{
    const std::chrono::milliseconds wait{url.number("wait", 0)};
    const std::uint64_t id = ++m_lastWatch;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context, wait);
    timer->async_wait([this, id](boost::system::error_code error) {
        if (!error && !m_switches.silentWatch)
            endWatch(id);
    });
    m_watches[id] = {url.text("prefix"), url.number("after", 0), reply, std::move(timer)};
    answerWatches();
}

void PlatformService::endWatch(std::uint64_t id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    const Watch ended = std::move(found->second);
    m_watches.erase(found);
    ended.reply(listResponse(m_store.newer(ended.prefix, ended.after), m_store.latest()));
}

void PlatformService::answerWatches()
{
    if (m_switches.silentWatch)
        return;
    std::vector<std::uint64_t> due;
    for (const auto &[id, watch] : m_watches) {
        if (!m_store.newer(watch.prefix, watch.after).empty())
            due.push_back(id);
    }
    for (const std::uint64_t id : due)
        endWatch(id);
}

} // namespace baobabtrail::standins
