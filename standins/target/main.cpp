/// \file
/// \brief Stand-in for a target: serves flows and requests and records every request run.

#include "command_line.h"
#include "support/http_server.h"
#include "support/standin_process.h"
#include "target/flow_table.h"
#include "target/request_server.h"

#include <sstream>

// The flag keeps the name tenant; the code says workspace.
DEFINE_string(tenant, "alexandria", "tenant of the service");
DEFINE_string(service, "lending", "name of the service");
DEFINE_string(name, "t1", "name of the target");
DEFINE_uint32(flows_port, 0, "UDP port; 0 for a free one");
DEFINE_uint32(requests_port, 0, "TCP port; 0 for a free one");
DEFINE_uint32(control_port, 0, "TCP port of the control API; 0 for a free one");
DEFINE_string(uplink, "", "the fabric's address for targets");
DEFINE_uint32(slots, 2, "requests that run concurrently");
DEFINE_uint32(queue, 4, "length of the request queue; requests beyond it are shed");
DEFINE_uint32(max_flows, 4000, "maximum number of open flows");
DEFINE_uint64(service_us, 20000, "mean service time in microseconds");
DEFINE_string(distribution, "exponential",
              "distribution of the service time: exponential or fixed");
DEFINE_uint64(cold_ms, 0,
              "time after the start during which the service time is five times as long");
DEFINE_uint64(report_lag_ms, 0, "age of the reported load");
DEFINE_double(report_factor, 1.0, "factor by which the reported load differs from the actual one");
DEFINE_uint64(push_ms, 1000, "time between two messages pushed on a flow; 0 for none");
DEFINE_uint64(answer_bytes, 3000, "size of an answer");
DEFINE_uint64(seed, 1, "seed of the random number generator");

namespace {

using namespace baobabtrail;
using namespace baobabtrail::standins;

[[nodiscard]] TargetSettings settingsFromFlags()
{
    TargetSettings settings;
    settings.service = serviceId(FLAGS_tenant, FLAGS_service);
    settings.target = targetId(settings.service, FLAGS_name);
    settings.name = FLAGS_name;
    settings.uplink = endpointFlag(FLAGS_uplink);
    settings.slots = FLAGS_slots;
    settings.maxQueue = FLAGS_queue;
    settings.maxFlows = FLAGS_max_flows;
    settings.serviceTime = Duration{FLAGS_service_us};
    settings.exponentialService = FLAGS_distribution == "exponential";
    settings.coldFor = std::chrono::milliseconds{FLAGS_cold_ms};
    settings.reportLag = std::chrono::milliseconds{FLAGS_report_lag_ms};
    settings.reportFactor = FLAGS_report_factor;
    settings.pushPeriod = std::chrono::milliseconds{FLAGS_push_ms};
    settings.answerBytes = FLAGS_answer_bytes;
    settings.seed = FLAGS_seed;
    return settings;
}

[[nodiscard]] boost::json::object statsOf(const TargetState &state)
{
    boost::json::object out = boost::json::value_from(state.counts).as_object();
    std::uint64_t twice = 0;
    for (const auto &[request, runs] : state.runs)
        twice += runs > 1;
    out["name"] = state.settings.name;
    out["requests"] = state.runs.size();
    out["twice"] = twice;
    out["flows"] = state.load.connections;
    out["running"] = state.load.running;
    out["queued"] = state.load.queued;
    return out;
}

/// \return Number of runs by request id.
[[nodiscard]] boost::json::object runsOf(const TargetState &state)
{
    boost::json::object out;
    for (const auto &[request, runs] : state.runs) {
        std::ostringstream id;
        id << request;
        out[id.str()] = runs;
    }
    return out;
}

/// \brief Control API: GET /stats and /runs; PUT /switches with draining, shedding,
/// serviceMicroseconds, reportFactor or forgetFlows.
class Control
{
public:
    Control(TargetState &state, FlowTable &flows)
        : m_state(state)
        , m_flows(flows)
    {
    }

    void handle(const HttpRequest &request, const HttpReply &reply)
    {
        const UrlParts url = parseUrl({request.target().data(), request.target().size()});
        try {
            if (url.path == "/stats") {
                reply(jsonResponse(statsOf(m_state)));
            } else if (url.path == "/runs") {
                reply(jsonResponse(runsOf(m_state)));
            } else if (url.path == "/switches") {
                set(boost::json::parse(request.body()).as_object());
                reply(response(http::status::no_content));
            } else {
                reply(response(http::status::not_found));
            }
        } catch (const std::exception &error) {
            reply(response(http::status::bad_request, std::string{error.what()} + '\n'));
        }
    }

private:
    void set(const boost::json::object &values)
    {
        for (const auto &[name, value] : values) {
            if (name == "draining")
                m_state.draining = value.as_bool();
            else if (name == "shedding")
                m_state.shedding = value.as_bool();
            else if (name == "serviceMicroseconds")
                m_state.settings.serviceTime = Duration{value.to_number<std::int64_t>()};
            else if (name == "reportFactor")
                m_state.settings.reportFactor = value.to_number<double>();
            else if (name == "forgetFlows")
                m_flows.dropAll();
            else
                throw std::invalid_argument("unknown switch " + std::string{name});
        }
    }

    TargetState &m_state;
    FlowTable &m_flows;
};

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(argc, argv,
                           "standin-target [flags]: a target of the native frame protocol");
    boost::asio::io_context context;
    TargetState state{settingsFromFlags()};
    FlowTable flows{context, static_cast<std::uint16_t>(FLAGS_flows_port), state};
    const RequestServer requests{context, static_cast<std::uint16_t>(FLAGS_requests_port), state};
    Control control{state, flows};
    const HttpServer server{context, static_cast<std::uint16_t>(FLAGS_control_port),
                            [&control](const HttpRequest &request, const HttpReply &reply) {
                                control.handle(request, reply);
                            }};
    const StopSignal stop{context, [&context] { context.stop(); }};
    printReady(
        {{"flows", flows.port()}, {"requests", requests.port()}, {"control", server.port()}});
    context.run();
    std::cout << boost::json::serialize(statsOf(state)) << std::endl;
    return 0;
}
