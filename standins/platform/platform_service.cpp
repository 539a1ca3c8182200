#include "platform/platform_service.h"

namespace baobabtrail::standins {

namespace {

constexpr std::string_view ObjectsPath = "/baobabtrail/objects/";
constexpr std::string_view VmPath = "/control/vms/";
constexpr std::string_view VmKind = "vms";

[[nodiscard]] HttpResponse objectResponse(http::status status, const Object &object)
{
    HttpResponse out = jsonResponse(object.json());
    out.result(status);
    return out;
}

[[nodiscard]] bool isWrite(const HttpRequest &request)
{
    return request.method() != http::verb::get;
}

/// \return The revision that a conditional write expects of its object; 0 for an unconditional one.
[[nodiscard]] std::uint64_t expectedRevision(const boost::json::object &body)
{
    const boost::json::value *meta = body.if_contains("meta");
    const boost::json::value *revision = meta ? meta->as_object().if_contains("revision") : nullptr;
    return revision ? revision->to_number<std::uint64_t>() : 0;
}

void applyContent(const boost::json::object &body, Object &object)
{
    object.spec = body.at("spec");
    const boost::json::value *meta = body.if_contains("meta");
    if (!meta)
        return;
    if (const auto *finalizers = meta->as_object().if_contains("finalizers"))
        object.finalizers = finalizers->as_array();
}

} // namespace

PlatformService::PlatformService(boost::asio::io_context &context, std::uint64_t seed,
                                 const Switches &switches)
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
    if (url.path == "/control/compact") {
        m_store.compact();
        dropWatches();
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
        else if (name == "busy")
            m_switches.busy = value.as_bool();
        else if (name == "silent")
            m_switches.silent = value.as_bool();
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
        else if (name == "oddText")
            m_switches.oddText = value.as_string();
        else if (name == "pageObjects")
            m_switches.pageObjects = value.to_number<std::uint64_t>();
        else
            throw std::invalid_argument("unknown switch " + std::string{name});
    }
    if (m_switches.down)
        dropWatches();
}

HttpResponse PlatformService::withOddText(const boost::json::value &value) const
{
    HttpResponse out = jsonResponse(value);
    if (m_switches.oddText.empty())
        return out;
    const std::string marker = '"' + std::string{OddMarker} + '"';
    std::string &body = out.body();
    for (std::size_t at = body.find(marker); at != std::string::npos;
         at = body.find(marker, at + m_switches.oddText.size()))
        body.replace(at, marker.size(), m_switches.oddText);
    return out;
}

void PlatformService::dropWatches()
{
    const auto dropped = std::exchange(m_watches, {});
    for (const auto &[id, watch] : dropped)
        watch.reply(std::nullopt);
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
    if (m_switches.silent) {
        count("ignored");
        return false;
    }
    if (m_switches.down) {
        count("dropped");
        reply(std::nullopt);
        return false;
    }
    if (m_switches.busy) {
        count("busy");
        reply(response(http::status::service_unavailable));
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
    if (!url.path.starts_with(ObjectsPath)) {
        reply(response(http::status::not_found));
        return;
    }
    const std::string rest = url.path.substr(ObjectsPath.size());
    const auto slash = rest.find('/');
    const Place place{rest.substr(0, slash),
                      slash == std::string::npos ? std::string{} : rest.substr(slash + 1)};
    if (request.method() == http::verb::get)
        read(place, url, reply);
    else
        write(request, place, url, reply);
}

void PlatformService::read(const Place &place, const UrlParts &url, const HttpReply &reply)
{
    if (!place.name.empty()) {
        count("read");
        const Object *object = m_store.find(place.kind, place.name);
        reply(object ? objectResponse(http::status::ok, *object)
                     : response(http::status::not_found));
        return;
    }
    if (url.query.contains("watch")) {
        count("watch");
        watch(place.kind, url, reply);
        return;
    }
    boost::json::array items;
    if (place.kind == VmKind) {
        count("vms");
        const auto lag = std::chrono::milliseconds{m_switches.vmLag};
        const boost::json::value listed = m_vms.list(now(), lag);
        for (const boost::json::value &vm : listed.at("vms").as_array()) {
            Object object;
            object.name = "vm";
            object.spec = vm;
            items.push_back(object.json());
        }
        reply(jsonResponse({{"items", items}, {"has_more", false}, {"at", m_store.revision()}}));
        return;
    }
    count("list");
    const auto objects = m_store.list(place.kind, url.text("after"), m_switches.pageObjects + 1);
    const bool more = objects.size() > m_switches.pageObjects;
    for (std::size_t index = 0; index < objects.size() - (more ? 1 : 0); ++index)
        items.push_back(objects[index].json());
    reply(withOddText({{"items", items}, {"has_more", more}, {"at", m_store.revision()}}));
}

void PlatformService::write(const HttpRequest &request, const Place &place, const UrlParts &url,
                            const HttpReply &reply)
{
    if (request.method() == http::verb::post)
        create(request, place, reply);
    else if (request.method() == http::verb::put)
        replace(request, place, reply);
    else
        remove(place, url, reply);
}

void PlatformService::create(const HttpRequest &request, const Place &place, const HttpReply &reply)
{
    count("create");
    const boost::json::value body = boost::json::parse(request.body());
    Object object;
    object.name = boost::json::value_to<std::string>(body.at("meta").at("name"));
    if (const Object *known = m_store.find(place.kind, object.name)) {
        reply(objectResponse(http::status::conflict, *known));
        return;
    }
    applyContent(body.as_object(), object);
    written(reply, objectResponse(http::status::ok, m_store.put(place.kind, std::move(object))));
}

void PlatformService::replace(const HttpRequest &request, const Place &place,
                              const HttpReply &reply)
{
    count("update");
    const Object *known = m_store.find(place.kind, place.name);
    if (!known) {
        reply(response(http::status::not_found));
        return;
    }
    const boost::json::value body = boost::json::parse(request.body());
    const std::uint64_t expected = expectedRevision(body.as_object());
    if (expected != 0 && expected != known->revision) {
        reply(objectResponse(http::status::conflict, *known));
        return;
    }
    Object object = *known;
    applyContent(body.as_object(), object);
    written(reply, objectResponse(http::status::ok, m_store.put(place.kind, std::move(object))));
}

void PlatformService::remove(const Place &place, const UrlParts &url, const HttpReply &reply)
{
    count("delete");
    const Object *known = m_store.find(place.kind, place.name);
    if (!known) {
        reply(response(http::status::not_found));
        return;
    }
    const std::uint64_t expected = url.number("revision", 0);
    if (expected != 0 && expected != known->revision) {
        reply(objectResponse(http::status::conflict, *known));
        return;
    }
    Object object = *known;
    if (!object.finalizers.empty()) {
        object.deleting = true;
        m_store.put(place.kind, object);
    } else {
        m_store.erase(place.kind, place.name);
    }
    written(reply, objectResponse(http::status::ok, object));
}

void PlatformService::written(const HttpReply &reply, HttpResponse response)
{
    answerWatches();
    if (m_switches.loseReplies > 0) {
        --m_switches.loseReplies;
        count("lostReply");
        reply(std::nullopt);
        return;
    }
    reply(std::move(response));
}

void PlatformService::watch(const std::string &kind, const UrlParts &url, const HttpReply &reply)
{
    const std::chrono::milliseconds wait{url.number("wait_ms", 0)};
    const std::uint64_t id = ++m_lastWatch;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context, wait);
    timer->async_wait([this, id](boost::system::error_code error) {
        if (!error && !m_switches.silentWatch)
            endWatch(id);
    });
    m_watches[id] = {kind, url.number("watch", 0), reply, std::move(timer)};
    answerWatches();
}

void PlatformService::endWatch(std::uint64_t id)
{
    const auto found = m_watches.find(id);
    if (found == m_watches.end())
        return;
    const Watch ended = std::move(found->second);
    m_watches.erase(found);
    const auto changes = m_store.since(ended.kind, ended.after);
    if (!changes) {
        ended.reply(response(http::status::gone));
        return;
    }
    boost::json::array events;
    for (const ObjectEvent &change : *changes)
        events.push_back({{"object", change.object.json()}, {"deleted", change.deleted}});
    ended.reply(withOddText({{"events", events}, {"at", m_store.revision()}}));
}

void PlatformService::answerWatches()
{
    if (m_switches.silentWatch)
        return;
    std::vector<std::uint64_t> due;
    for (const auto &[id, watch] : m_watches) {
        const auto changes = m_store.since(watch.kind, watch.after);
        if (!changes || !changes->empty())
            due.push_back(id);
    }
    for (const std::uint64_t id : due)
        endWatch(id);
}

} // namespace baobabtrail::standins
