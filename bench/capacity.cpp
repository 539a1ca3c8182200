/// \file
/// \brief Memory and processor time of one daemon's traffic side at the design size.
///
/// Measures how they grow with targets, members, request records and pending opens, with one
/// TrafficNode in this process. docs/CAPACITY.md quotes the output.

#include "command_line.h"
#include "core/traffic/traffic_node.h"
#include "wire/codec.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <vector>

DEFINE_uint32(services, 2000, "Services in the configuration");
DEFINE_uint32(targets, 4400, "Targets in the configuration, spread over services and domains");
DEFINE_uint32(domains, 6, "Failure domains");
DEFINE_uint32(members, 105, "Daemons in each failure domain");

namespace {

using namespace baobabtrail;

constexpr double BytesPerKiB = 1024;

[[nodiscard]] double processorMilliseconds()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

[[nodiscard]] std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

[[nodiscard]] std::string domainName(std::uint32_t index)
{
    return "domain-" + std::to_string(index);
}

/// \brief Builds a configuration that spreads the targets over services and domains in turn.
[[nodiscard]] std::shared_ptr<Config> makeConfig(std::uint32_t targets, Revision revision)
{
    auto config = std::make_shared<Config>();
    config->revision = revision;
    std::vector<ServiceId> ids;
    for (std::uint32_t i = 0; i < FLAGS_services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        const ServiceId id = serviceId("tenant", name);
        config->services[id] = ServiceConfig{id, "tenant", name, {}, {}};
        ids.push_back(id);
    }
    for (std::uint32_t i = 0; i < targets; ++i) {
        ServiceConfig &service = config->services[ids[i % ids.size()]];
        TargetConfig target;
        target.name = "t" + std::to_string(i);
        target.id = targetId(service.id, target.name);
        target.generation = Generation{1};
        target.domain = domainName((i / FLAGS_services + i) % FLAGS_domains);
        target.flows = Endpoint{0x0d000000 + i, 9000};
        target.requests = Endpoint{0x0d000000 + i, 9001};
        target.slots = 2;
        service.targets[target.id] = target;
    }
    return config;
}

[[nodiscard]] Member makeMember(std::uint32_t domain, std::uint32_t index)
{
    const std::uint32_t number = domain * FLAGS_members + index + 1;
    return Member{DaemonId{number},
                  Incarnation{1},
                  Endpoint{0x0a000000 + number, 7000},
                  Endpoint{0x0a000000 + number, 7001},
                  domainName(domain),
                  MemberState::Alive,
                  Revision{1}};
}

[[nodiscard]] std::shared_ptr<View> makeView(std::uint32_t members)
{
    auto view = std::make_shared<View>();
    view->self = DaemonId{1};
    view->domain = domainName(0);
    for (std::uint32_t i = 0; i < members; ++i)
        view->members.push_back(makeMember(0, i));
    for (std::uint32_t domain = 1; domain < FLAGS_domains; ++domain) {
        for (std::uint32_t i = 0; i < members; ++i)
            view->remote[domainName(domain)].push_back(makeMember(domain, i));
    }
    return view;
}

/// \brief The traffic side of one daemon, fed with events directly.
class Daemon
{
public:
    Daemon()
        : m_node({DaemonId{1}, Incarnation{1}, domainName(0), Endpoint{0x0a000001, 7000}, {}}, {},
                 std::make_shared<KeyRing>(std::vector<std::byte>(32, std::byte{7}), KeyEpoch{1}),
                 1)
    {
    }

    void handle(TrafficEvent event)
    {
        m_actions.clear();
        m_node.handle(std::move(event), m_now, m_actions);
    }

    [[nodiscard]] double millisecondsOf(TrafficEvent event)
    {
        const double before = processorMilliseconds();
        handle(std::move(event));
        return processorMilliseconds() - before;
    }

    void verifyLinks(const Config &config)
    {
        for (const auto &[id, service] : config.services) {
            for (const auto &[target, declared] : service.targets) {
                handle(LinkOpened{target, declared.generation});
                handle(FromLink{target, declared.generation, LinkHelloReply{id, {}}});
            }
        }
    }

    [[nodiscard]] const TrafficActions &actions() const noexcept { return m_actions; }
    [[nodiscard]] TrafficNode::Counts counts() const noexcept { return m_node.counts(); }

private:
    TrafficNode m_node;
    TrafficActions m_actions;
    TimePoint m_now{1h};
};

void printConfiguration()
{
    std::printf("configuration and view: %u services, %u domains\n", FLAGS_services, FLAGS_domains);
    std::printf("%8s %8s %12s %14s %14s %14s\n", "targets", "members", "owned", "KiB of table",
                "ms, config", "ms, view");
    for (const std::uint32_t targets : {FLAGS_targets / 4, FLAGS_targets / 2, FLAGS_targets}) {
        for (const std::uint32_t members : {FLAGS_members / 5, FLAGS_members}) {
            const auto config = makeConfig(targets, Revision{1});
            const auto next = makeConfig(targets, Revision{2});
            const auto view = makeView(members);
            auto without = std::make_shared<View>(*view);
            without->members.pop_back();
            Daemon daemon;
            daemon.handle(ViewChanged{view});
            const std::size_t before = heapBytes();
            daemon.handle(ConfigChanged{config});
            const double table = static_cast<double>(heapBytes() - before) / BytesPerKiB;
            daemon.verifyLinks(*config);
            const double configTime = daemon.millisecondsOf(ConfigChanged{next});
            const double viewTime = daemon.millisecondsOf(ViewChanged{without});
            std::printf("%8u %8u %12zu %14.0f %14.2f %14.2f\n", targets, members,
                        daemon.counts().ownedTargets, table, configTime, viewTime);
        }
    }
}

/// \brief A single daemon with one service and one target, so that it handles everything itself.
class Single
{
public:
    Single()
    {
        const ServiceId id = serviceId("tenant", "only");
        auto config = std::make_shared<Config>();
        config->revision = Revision{1};
        ServiceConfig &service = config->services[id];
        service = ServiceConfig{id, "tenant", "only", {}, {}};
        service.limits.queuePerSlot = 1'000'000;
        TargetConfig target;
        target.id = targetId(id, "t");
        target.generation = Generation{1};
        target.domain = domainName(0);
        target.flows = Endpoint{0x0d000001, 9000};
        target.requests = Endpoint{0x0d000001, 9001};
        target.slots = 100'000;
        service.targets[target.id] = target;
        auto view = makeView(1);
        view->remote.clear();
        m_daemon.handle(ViewChanged{view});
        m_daemon.handle(ConfigChanged{config});
        m_daemon.verifyLinks(*config);
        m_service = id;
    }

    void reserve(std::uint64_t number)
    {
        Reserve ask;
        ask.request = RequestId{number, number};
        ask.service = m_service;
        ask.timeLeft = 60s;
        m_daemon.handle(FromCaller{Endpoint{1, 1}, CallerMessage{RequestMessage{ask}}});
    }

    void open(std::uint64_t number)
    {
        const OpenFlow ask{FlowId{number}, m_service, {}, 0};
        m_daemon.handle(FromCaller{Endpoint{1, 1}, CallerMessage{FlowMessage{ask}}});
    }

    [[nodiscard]] TrafficNode::Counts counts() const noexcept { return m_daemon.counts(); }

private:
    Daemon m_daemon;
    ServiceId m_service;
};

template <typename Ask, typename Held>
void printSlope(const char *what, std::uint64_t count, Ask ask, Held held)
{
    Single single;
    const std::size_t before = heapBytes();
    for (std::uint64_t i = 1; i <= count; ++i)
        ask(single, i);
    const std::size_t kept = held(single.counts());
    const double bytes = static_cast<double>(heapBytes() - before);
    std::printf("%-20s %8zu held %10.0f bytes each\n", what, kept,
                kept == 0 ? 0.0 : bytes / static_cast<double>(kept));
}

/// \brief TCP and IP headers of a segment, with TCP timestamps. Applies to each message and each
/// bare acknowledgement.
constexpr std::size_t SegmentHeaderBytes = 52;

void printHello()
{
    const ServiceId service = serviceId("tenant", "service-1999");
    const LinkHello hello{service, targetId(service, "t4399"), Generation{1000}};
    const std::size_t asked = wire::encodeLink(hello).size() + SegmentHeaderBytes;
    const std::size_t answered
        = wire::encodeLink(LinkHelloReply{service, {2, 3, 5000}}).size() + SegmentHeaderBytes;
    std::printf("hello on a link: %zu bytes sent, %zu received, headers and acknowledgement "
                "included\n",
                asked + SegmentHeaderBytes, answered);
}

} // namespace

int main(int argc, char **argv)
{
    baobabtrail::readFlags(
        argc, argv,
        "bench-capacity [flags]: heap and processor time of the traffic side by its size");
    printConfiguration();
    printHello();
    printSlope(
        "request records", 20'000, [](Single &s, std::uint64_t i) { s.reserve(i); },
        [](const TrafficNode::Counts &counts) { return counts.requests; });
    printSlope(
        "pending opens", 20'000, [](Single &s, std::uint64_t i) { s.open(i); },
        [](const TrafficNode::Counts &counts) { return counts.pendingOpens; });
    return 0;
}
