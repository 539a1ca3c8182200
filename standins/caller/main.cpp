/// \file
/// \brief Stand-in for callers: keeps feeds open, sends requests and counts their outcomes.

#include "caller/feeds.h"
#include "caller/requests.h"
#include "command_line.h"
#include "support/http_server.h"
#include "support/standin_process.h"
#include "support/udp_port.h"
#include "wire/codec.h"

DEFINE_string(fabric, "", "the fabric's address for callers");
// The flag keeps the name tenant; the code says workspace.
DEFINE_string(tenant, "alexandria", "tenant of the service");
DEFINE_string(service, "lending", "name of the service");
DEFINE_uint32(feeds, 0, "number of feeds to keep open");
DEFINE_double(rate, 0, "requests per second");
DEFINE_uint64(max_requests, 100000, "maximum number of requests in total");
DEFINE_string(request_class, "normal", "urgent, normal or bulk");
DEFINE_bool(idempotent, false, "whether a request may run more than once");
DEFINE_uint64(deadline_ms, 3000, "deadline of a request");
DEFINE_uint64(payload_bytes, 200, "size of a request");
DEFINE_uint64(keepalive_ms, 1000, "time between two keep-alives of a feed");
DEFINE_uint64(data_ms, 1000, "time between two messages on a feed");
DEFINE_uint32(silent_limit, 10, "unanswered keep-alives after which a feed is reopened");
DEFINE_double(loss, 0, "drop probability of each received datagram");
DEFINE_uint64(seconds, 10, "time during which requests are started; exits once all have finished");
DEFINE_uint32(control_port, 0, "TCP port of GET /stats; 0 for a free one");
DEFINE_uint64(seed, 1, "seed of the random number generator");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::standins;

constexpr Duration TickPeriod = 2ms;

[[nodiscard]] RequestClass classFlag(const std::string &name)
{
    if (name == "urgent")
        return RequestClass::Urgent;
    if (name == "normal")
        return RequestClass::Normal;
    if (name == "bulk")
        return RequestClass::Bulk;
    throw std::invalid_argument('"' + name + "\" is not urgent, normal or bulk");
}

[[nodiscard]] CallerSettings settingsFromFlags()
{
    CallerSettings settings;
    settings.fabric = endpointFlag(FLAGS_fabric);
    settings.service = serviceId(FLAGS_tenant, FLAGS_service);
    settings.feeds = FLAGS_feeds;
    settings.requestsPerSecond = FLAGS_rate;
    settings.maxRequests = FLAGS_max_requests;
    settings.requestClass = classFlag(FLAGS_request_class);
    settings.idempotent = FLAGS_idempotent;
    settings.deadline = std::chrono::milliseconds{FLAGS_deadline_ms};
    settings.payloadBytes = FLAGS_payload_bytes;
    settings.keepAlivePeriod = std::chrono::milliseconds{FLAGS_keepalive_ms};
    settings.dataPeriod = std::chrono::milliseconds{FLAGS_data_ms};
    settings.silentLimit = FLAGS_silent_limit;
    settings.loss = FLAGS_loss;
    settings.seed = FLAGS_seed;
    return settings;
}

/// \brief A UDP socket and the feeds and requests that share it.
class Caller
{
public:
    Caller(boost::asio::io_context &context, const CallerSettings &settings)
        : m_context(context)
        , m_settings(settings)
        , m_random(settings.seed)
        , m_feeds(m_settings, m_random, [this](const CallerMessage &m) { send(m); })
        , m_requests(
              m_settings, m_random, [this](const CallerMessage &m) { send(m); }, now())
        , m_port(context, 0, [this](const Endpoint &, std::string_view bytes) { receive(bytes); })
        , m_ticker(context, TickPeriod, [this] { tick(); })
    {
    }

    /// \brief Stops starting requests; once the pending ones finish, closes the feeds and exits.
    void stop()
    {
        m_requests.stop();
        m_stopping = true;
    }

    [[nodiscard]] boost::json::value stats() const
    {
        return {{"flows", m_finalFlows.empty() ? m_feeds.stats() : m_finalFlows},
                {"requests", m_requests.stats()},
                {"malformed", m_malformed}};
    }

    [[nodiscard]] boost::json::value ids() const { return m_requests.ids(); }

    [[nodiscard]] std::uint16_t port() const { return m_port.address().port; }

private:
    void send(const CallerMessage &message)
    {
        m_port.send(m_settings.fabric, wire::encode(message));
    }

    void receive(std::string_view bytes)
    {
        if (chance(m_random, m_settings.loss))
            return;
        const auto decoded = wire::decodeCaller(bytes);
        const auto *message = std::get_if<CallerMessage>(&decoded);
        if (!message) {
            ++m_malformed;
            return;
        }
        if (const auto *flow = std::get_if<FlowMessage>(message))
            m_feeds.receive(*flow, now());
        else
            m_requests.receive(std::get<RequestMessage>(*message), now());
    }

    void tick()
    {
        m_feeds.tick(now());
        m_requests.tick(now());
        if (!m_stopping || m_requests.pending() > 0)
            return;
        m_finalFlows = m_feeds.stats();
        m_feeds.closeAll();
        m_context.stop();
    }

    boost::asio::io_context &m_context;
    CallerSettings m_settings;
    Random m_random;
    Feeds m_feeds;
    Requests m_requests;
    bool m_stopping = false;
    std::uint64_t m_malformed = 0;
    boost::json::object m_finalFlows;
    UdpPort m_port;
    Ticker m_ticker;
};

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(argc, argv,
                           "standin-caller [flags]: callers of the native frame protocol");
    boost::asio::io_context context;
    Caller caller{context, settingsFromFlags()};
    const HttpServer server{context, static_cast<std::uint16_t>(FLAGS_control_port),
                            [&caller](const HttpRequest &, const HttpReply &reply) {
                                reply(jsonResponse(caller.stats()));
                            }};
    boost::asio::steady_timer end{context, std::chrono::seconds{FLAGS_seconds}};
    end.async_wait([&caller](boost::system::error_code error) {
        if (!error)
            caller.stop();
    });
    const StopSignal stop{context, [&caller] { caller.stop(); }};
    printReady({{"control", server.port()}, {"udp", caller.port()}});
    context.run();
    std::cout << boost::json::serialize(caller.stats()) << std::endl;
    std::cout << boost::json::serialize(caller.ids()) << std::endl;
    return 0;
}
