#include "daemon/metrics/metrics.h"

namespace baobabtrail::daemon {

namespace {

void writeOne(Exposition &page, std::string_view name, std::string_view type, std::string_view help,
              double value)
{
    page.family(name, type, help);
    page.sample({}, value);
}

template <std::size_t Size>
void writeKinds(Exposition &page, std::string_view from,
                const std::array<std::string_view, Size> &names, const CounterArray<Size> &counts)
{
    for (std::size_t index = 0; index < Size; ++index)
        page.sample({{"from", from}, {"kind", names[index]}}, static_cast<double>(counts[index]));
}

void writeSocket(Exposition &page, std::uint64_t SocketCounters::*field, const Counters &counters)
{
    page.sample({{"socket", "data"}}, static_cast<double>(counters.data.*field));
    page.sample({{"socket", "peer"}}, static_cast<double>(counters.peer.*field));
}

void writeSockets(Exposition &page, const Counters &counters)
{
    struct Family
    {
        std::string_view name;
        std::string_view help;
        std::uint64_t SocketCounters::*field;
    };
    constexpr std::array families{
        Family{"baobabtrail_datagrams_received_total", "Datagrams read.",
               &SocketCounters::datagramsIn},
        Family{"baobabtrail_datagrams_sent_total", "Datagrams sent.",
               &SocketCounters::datagramsOut},
        Family{"baobabtrail_received_bytes_total", "Bytes read.", &SocketCounters::bytesIn},
        Family{"baobabtrail_sent_bytes_total", "Bytes sent.", &SocketCounters::bytesOut},
        Family{"baobabtrail_send_drops_total", "Datagrams dropped because the buffer was full.",
               &SocketCounters::sendDrops},
        Family{"baobabtrail_truncated_total", "Datagrams too long for the protocol.",
               &SocketCounters::truncated},
        Family{"baobabtrail_bad_source_total",
               "Datagrams not from the fabric or without a valid PROXY header.",
               &SocketCounters::badSource},
    };
    for (const Family &family : families) {
        page.family(family.name, "counter", family.help);
        writeSocket(page, family.field, counters);
    }
    page.family("baobabtrail_decode_errors_total", "counter",
                "Datagrams that could not be decoded.");
    for (std::size_t index = 0; index < DecodeErrorNames.size(); ++index) {
        page.sample({{"socket", "data"}, {"cause", DecodeErrorNames[index]}},
                    static_cast<double>(counters.data.decodeErrors[index]));
        page.sample({{"socket", "peer"}, {"cause", DecodeErrorNames[index]}},
                    static_cast<double>(counters.peer.decodeErrors[index]));
    }
    page.family("baobabtrail_messages_received_total", "counter", "Messages accepted, by kind.");
    writeKinds(page, "caller", FlowMessageNames, counters.callerFlow);
    writeKinds(page, "caller", RequestMessageNames, counters.callerRequest);
    writeKinds(page, "target", FlowMessageNames, counters.targetIn);
    writeKinds(page, "peer", PeerMessageNames, counters.peerIn);
}

void writePlatform(Exposition &page, const Counters &counters)
{
    page.family("baobabtrail_platform_calls_total", "counter",
                "Finished calls to the platform, by result.");
    for (std::size_t call = 0; call < PlatformCallNames.size(); ++call) {
        for (std::size_t result = 0; result < PlatformResultNames.size(); ++result) {
            if (counters.platform[call][result] == 0)
                continue;
            page.sample(
                {{"call", PlatformCallNames[call]}, {"result", PlatformResultNames[result]}},
                static_cast<double>(counters.platform[call][result]));
        }
    }
}

void writeEvents(Exposition &page, const Counters &counters)
{
    struct Event
    {
        std::string_view name;
        std::uint64_t Counters::*field;
    };
    constexpr std::array events{
        Event{"records_served", &Counters::recordsServed},
        Event{"records_refused", &Counters::recordsRefused},
        Event{"fetch_answered", &Counters::fetchesAnswered},
        Event{"fetch_failed", &Counters::fetchesFailed},
        Event{"link_opened", &Counters::linksOpened},
        Event{"link_failed", &Counters::linksFailed},
        Event{"link_broken", &Counters::linksBroken},
        Event{"link_message_received", &Counters::linkMessagesIn},
        Event{"link_message_sent", &Counters::linkMessagesOut},
        Event{"administration_accepted", &Counters::adminAccepted},
        Event{"administration_unauthorized", &Counters::adminUnauthorized},
        Event{"log_line_left_out", &Counters::logLinesLeftOut},
    };
    page.family("baobabtrail_events_total", "counter", "Events of the daemon's parts.");
    for (const Event &event : events)
        page.sample({{"event", event.name}}, static_cast<double>(counters.*event.field));
    page.family("baobabtrail_restarts_total", "counter", "Restarts of a child by its supervisor.");
    for (const auto &[child, count] : counters.restarts)
        page.sample({{"child", child}}, static_cast<double>(count));
}

void writeGauges(Exposition &page, const Gauges &gauges)
{
    const auto gauge = [&page](std::string_view name, std::string_view help, double value) {
        writeOne(page, name, "gauge", help, value);
    };
    gauge("baobabtrail_config_revision", "Configuration revision in force.",
          static_cast<double>(gauges.revision));
    gauge("baobabtrail_config_age_seconds",
          "Time since the configuration was last confirmed to be the latest.",
          gauges.configAgeSeconds);
    gauge("baobabtrail_requests_held", "Request records held in memory.",
          static_cast<double>(gauges.requests));
    gauge("baobabtrail_pending_opens", "Flow openings that wait for a target.",
          static_cast<double>(gauges.pendingOpens));
    gauge("baobabtrail_owned_targets", "Targets that this daemon owns.",
          static_cast<double>(gauges.ownedTargets));
    gauge("baobabtrail_running_attempts", "Attempts that run at targets.",
          static_cast<double>(gauges.runningAttempts));
    gauge("baobabtrail_members_alive", "Members of the failure domain in the state alive.",
          static_cast<double>(gauges.membersAlive));
    gauge("baobabtrail_links", "Connections to targets.", static_cast<double>(gauges.links));
    gauge("baobabtrail_owned_imbalance", "Maximum divided by mean of requests at owned targets.",
          gauges.ownedImbalance);
}

} // namespace

Metrics::Metrics(std::size_t maxWorkspaces)
    : m_workspaces(maxWorkspaces)
{
}

std::string Metrics::page(const Gauges &gauges) const
{
    Exposition page;
    writeGauges(page, gauges);
    m_workspaces.write(page);
    writeSockets(page, m_counters);
    writePlatform(page, m_counters);
    writeEvents(page, m_counters);
    return page.take();
}

} // namespace baobabtrail::daemon
