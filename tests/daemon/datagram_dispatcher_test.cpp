#include "daemon/datagram_dispatcher.h"
#include "daemon/net/frame_kind.h"
#include "wire/codec.h"

#include <string>

#include <criterion/criterion.h>

using namespace baobabtrail;
using namespace baobabtrail::daemon;

namespace {

constexpr Endpoint Fabric{0x0a000001, 5000};
constexpr Endpoint Stranger{0x0a000002, 5000};
constexpr Endpoint Caller{0xc0a80001, 6000};
constexpr Endpoint Target{0x0a000101, 7000};

[[nodiscard]] std::shared_ptr<const KeyRing> keys()
{
    const std::vector<std::byte> secret(32, std::byte{7});
    return std::make_shared<const KeyRing>(secret, KeyEpoch{1});
}

[[nodiscard]] CallerMessage openFlow()
{
    return FlowMessage{OpenFlow{FlowId{42}, ServiceId{7}, {}, 0}};
}

[[nodiscard]] TargetDatagram fromTarget()
{
    TargetDatagram datagram;
    datagram.caller = Caller;
    datagram.token.service = ServiceId{7};
    datagram.body = FlowData{FlowId{42}, datagram.token, "feed"};
    return datagram;
}

/// \brief A dispatcher whose events are recorded.
struct Fixture
{
    Counters counters;
    std::vector<TrafficEvent> traffic;
    std::vector<ControlEvent> control;
    DatagramDispatcher dispatcher{
        {Fabric.address},
        keys(),
        counters,
        [this](TrafficEvent event) { traffic.push_back(std::move(event)); },
        [this](ControlEvent event) { control.push_back(std::move(event)); }};
};

} // namespace

// Guards against a target's envelope that is taken for a caller's frame: parsing it as one may
// succeed, and the target's answer would be lost. So the kinds must be distinguished before
// parsing, on each socket where they arrive.
Test(datagrams, eachKindBecomesItsEvent)
{
    Fixture fixture;
    const std::string header = wire::proxyHeader(Caller, {});
    fixture.dispatcher.fromFabric(Fabric, header + wire::encode(openFlow()));
    cr_assert_eq(fixture.traffic.size(), 1);
    const auto *caller = std::get_if<FromCaller>(&fixture.traffic[0]);
    cr_assert(caller && caller->caller == Caller);

    fixture.dispatcher.fromFabric(Fabric,
                                  wire::proxyHeader(Target, {}) + wire::encode(fromTarget()));
    fixture.dispatcher.fromPeer(Target, wire::encode(fromTarget()));
    cr_assert_eq(fixture.traffic.size(), 3);
    for (const std::size_t index : {1, 2}) {
        const auto *target = std::get_if<FromTarget>(&fixture.traffic[index]);
        cr_assert(target && target->address == Target && target->datagram.caller == Caller);
    }

    fixture.dispatcher.fromPeer(Stranger, wire::encode(PeerDatagram{{}, {}, Ping{}}, *keys()));
    fixture.dispatcher.fromPeer(Stranger,
                                wire::encode(PeerDatagram{{}, {}, HandoffReply{}}, *keys()));
    cr_assert_eq(fixture.control.size(), 1);
    cr_assert_eq(fixture.traffic.size(), 4);
    cr_assert(std::holds_alternative<FromPeer>(fixture.traffic[3]));
}

// Guards against a sender outside the fabric that reaches the data address with a forged PROXY
// header: it could impersonate any caller, or a target whose address it names. Only the fabric's
// addresses are trusted; all other datagrams are counted and dropped.
Test(datagrams, whatIsForgedOrDamagedIsCountedAndDropped)
{
    Fixture fixture;
    const std::string good = wire::proxyHeader(Caller, {}) + wire::encode(openFlow());
    fixture.dispatcher.fromFabric(Stranger, good);
    fixture.dispatcher.fromFabric(Fabric, wire::encode(openFlow()));
    fixture.dispatcher.fromFabric(Fabric, "");
    cr_assert_eq(fixture.counters.data.badSource, 3);

    fixture.dispatcher.fromFabric(Fabric, wire::proxyHeader(Caller, {}) + "\x0a\xff");
    fixture.dispatcher.fromFabric(Fabric, wire::proxyHeader(Caller, {}) + "\x09\xff");
    const auto malformed = static_cast<std::size_t>(wire::DecodeError::Malformed);
    cr_assert_eq(fixture.counters.data.decodeErrors[malformed], 2);

    std::string ping = wire::encode(PeerDatagram{{}, {}, Ping{}}, *keys());
    ping.back() ^= 1;
    fixture.dispatcher.fromPeer(Stranger, ping);
    const auto badMac = static_cast<std::size_t>(wire::DecodeError::BadMac);
    cr_assert_eq(fixture.counters.peer.decodeErrors[badMac], 1);
    cr_assert(fixture.traffic.empty() && fixture.control.empty());
}

Test(datagrams, onlyATargetsEnvelopeLooksLikeOne)
{
    cr_assert(isTargetFrame(wire::encode(fromTarget())));
    cr_assert(!isTargetFrame(wire::encode(openFlow())));
    cr_assert(!isTargetFrame(wire::encode(CallerMessage{RequestMessage{Reserve{}}})));
    cr_assert(!isTargetFrame(wire::encode(PeerDatagram{{}, {}, Ping{}}, *keys())));
    cr_assert(!isTargetFrame({}));
}
