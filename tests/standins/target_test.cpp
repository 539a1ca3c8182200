#include "support/process.h"
#include "wire/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <set>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::test;
namespace asio = boost::asio;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// \brief A blocking UDP socket on a free port.
struct Socket
{
    asio::io_context context;
    asio::ip::udp::socket udp{context, {asio::ip::address_v4::loopback(), 0}};

    [[nodiscard]] std::string address() const { return toString(endpoint()); }
    [[nodiscard]] Endpoint endpoint() const { return {Loopback, udp.local_endpoint().port()}; }
    void send(std::uint16_t port, const std::string &bytes)
    {
        udp.send_to(asio::buffer(bytes), {asio::ip::address_v4::loopback(), port});
    }
    [[nodiscard]] std::string receive()
    {
        std::string bytes(65536, '\0');
        bytes.resize(udp.receive(asio::buffer(bytes)));
        return bytes;
    }
};

[[nodiscard]] TargetDatagram datagramFor(const std::string &service, FlowMessage body)
{
    TargetDatagram datagram;
    datagram.caller = {Loopback, 4000};
    datagram.token.service = serviceId("alexandria", service);
    datagram.token.target = targetId(datagram.token.service, "t1");
    datagram.body = std::move(body);
    return datagram;
}

[[nodiscard]] FlowMessage bodyOf(const std::string &bytes)
{
    const auto decoded = wire::decodeTarget(bytes);
    cr_assert(std::holds_alternative<TargetDatagram>(decoded));
    return std::get<TargetDatagram>(decoded).body;
}

/// \brief A target process without pushes, with a test socket as its uplink.
struct TargetFixture
{
    Socket uplink;
    Socket daemon;
    Process target{"standin-target",
                   {"--uplink=" + uplink.address(), "--push_ms=0", "--slots=1", "--queue=1",
                    "--distribution=fixed", "--service_us=1000000", "--answer_bytes=10"}};

    void send(const TargetDatagram &datagram)
    {
        daemon.send(target.ports().at("flows"), wire::encode(datagram));
    }
};

} // namespace

Test(targetStandin, acceptsItsFlowsAndResetsOthers)
{
    TargetFixture fixture;
    const FlowId flow{5};
    TargetDatagram open = datagramFor("lending", OpenFlow{flow, {}, {}, 0});
    open.replyTo = fixture.daemon.endpoint();
    fixture.send(open);
    cr_assert(std::holds_alternative<AcceptFlow>(bodyOf(fixture.daemon.receive())));

    const auto data = datagramFor("lending", FlowData{flow, open.token, "hello"});
    fixture.send(data);
    cr_assert_eq(std::get<FlowData>(bodyOf(fixture.uplink.receive())).payload, "hello");

    fixture.send(datagramFor("catalogue", KeepAlive{flow, {}, 0}));
    cr_assert(std::get<ResetFlow>(bodyOf(fixture.uplink.receive())).cause
              == ResetCause::WrongService);

    fixture.send(datagramFor("lending", CloseFlow{flow, open.token}));
    fixture.send(data);
    cr_assert(std::get<ResetFlow>(bodyOf(fixture.uplink.receive())).cause
              == ResetCause::UnknownFlow);
}

Test(targetStandin, shedsCancelsAndExpiresBeforeTheStart)
{
    TargetFixture fixture;
    asio::io_context context;
    asio::ip::tcp::socket link{context};
    link.connect({asio::ip::address_v4::loopback(), fixture.target.ports().at("requests")});
    link.set_option(asio::ip::tcp::no_delay{true});
    wire::LinkReader reader;
    std::vector<LinkMessage> inbox;
    const auto send = [&](const LinkMessage &message) {
        asio::write(link, asio::buffer(wire::encodeLink(message)));
    };
    const auto next = [&] {
        while (inbox.empty()) {
            std::string bytes(4096, '\0');
            bytes.resize(link.read_some(asio::buffer(bytes)));
            cr_assert(!reader.feed(bytes, inbox));
        }
        const LinkMessage message = inbox.front();
        inbox.erase(inbox.begin());
        return message;
    };
    const ServiceId lending = serviceId("alexandria", "lending");
    const auto dispatch = [&](std::uint64_t attempt, Duration timeLeft, ServiceId service) {
        send(Dispatch{AttemptId{attempt}, RequestId{1, attempt}, service, RequestClass::Normal,
                      timeLeft, "swap"});
    };
    const auto notRun = [](const LinkMessage &message, std::uint64_t attempt) {
        const auto &refusal = std::get<AttemptNotRun>(message);
        cr_assert_eq(refusal.attempt.value(), attempt);
        return refusal.cause;
    };

    send(LinkHello{lending, targetId(lending, "t1"), Generation{1}});
    cr_assert(std::get<LinkHelloReply>(next()).service == lending);
    dispatch(1, 10s, lending); // occupies the slot
    dispatch(2, 10s, lending); // is queued
    dispatch(3, 10s, lending);
    cr_assert(notRun(next(), 3) == RefusalCause::TargetShed);
    send(CancelAttempt{AttemptId{2}});
    cr_assert(notRun(next(), 2) == RefusalCause::Cancelled);
    dispatch(4, 1ms, lending); // expires before the slot is free
    dispatch(5, 10s, serviceId("alexandria", "catalogue"));
    cr_assert(notRun(next(), 5) == RefusalCause::UnknownService);
    const LinkMessage first = next();
    const LinkMessage second = next();
    const bool doneFirst = std::holds_alternative<AttemptDone>(first);
    cr_assert_eq(std::get<AttemptDone>(doneFirst ? first : second).attempt.value(), 1);
    cr_assert(notRun(doneFirst ? second : first, 4) == RefusalCause::DeadlinePassed);
}

Test(fabricStandin, spraysOverItsMembersBehindTheSource)
{
    Socket caller;
    Socket one;
    Socket two;
    Process fabric{"standin-fabric", {"--members=" + one.address() + ',' + two.address()}};
    std::set<int> reached;
    for (int i = 0; reached.size() < 2 && i < 1000; ++i) {
        caller.send(fabric.ports().at("callers"), "ask");
        while (one.udp.available() == 0 && two.udp.available() == 0) {
        }
        const bool first = one.udp.available() > 0;
        const std::string bytes = first ? one.receive() : two.receive();
        const auto proxied = wire::parseProxied(bytes);
        cr_assert(proxied && proxied->source == caller.endpoint() && proxied->payload == "ask");
        reached.insert(first ? 1 : 2);
    }
    cr_assert_eq(reached.size(), 2);
}
