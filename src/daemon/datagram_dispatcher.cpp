#include "daemon/datagram_dispatcher.h"

#include "daemon/net/frame_kind.h"
#include "wire/codec.h"

#include <algorithm>
#include <variant>

namespace baobabtrail::daemon {

namespace {

void countError(SocketCounters &socket, wire::DecodeError error) noexcept
{
    ++socket.decodeErrors[static_cast<std::size_t>(error)];
}

[[nodiscard]] bool isForTraffic(const PeerMessage &message) noexcept
{
    return std::holds_alternative<Handoff>(message) || std::holds_alternative<HandoffReply>(message)
           || std::holds_alternative<OwnerRequest>(message);
}

} // namespace

DatagramDispatcher::DatagramDispatcher(std::vector<std::uint32_t> fabric,
                                       std::shared_ptr<const KeyRing> keys, Counters &counters,
                                       std::function<void(TrafficEvent)> toTraffic,
                                       std::function<void(ControlEvent)> toControl)
    : m_fabric(std::move(fabric))
    , m_keys(std::move(keys))
    , m_counters(counters)
    , m_toTraffic(std::move(toTraffic))
    , m_toControl(std::move(toControl))
{
}

void DatagramDispatcher::fromFabric(const Endpoint &from, std::string_view bytes)
{
    // A PROXY header is trusted only from the fabric: any other sender could forge a caller's or
    // a target's address in it.
    const bool trusted
        = std::find(m_fabric.begin(), m_fabric.end(), from.address) != m_fabric.end();
    const auto proxied = trusted ? wire::parseProxied(bytes) : std::nullopt;
    if (!proxied) {
        ++m_counters.data.badSource;
        return;
    }
    if (isTargetFrame(proxied->payload))
        handleTarget(proxied->source, proxied->payload, m_counters.data);
    else
        handleCaller(proxied->source, proxied->payload);
}

void DatagramDispatcher::fromPeer(const Endpoint &from, std::string_view bytes)
{
    if (isTargetFrame(bytes)) {
        handleTarget(from, bytes, m_counters.peer);
        return;
    }
    auto decoded = wire::decodePeer(bytes, *m_keys);
    if (const auto *error = std::get_if<wire::DecodeError>(&decoded)) {
        countError(m_counters.peer, *error);
        return;
    }
    auto &datagram = std::get<PeerDatagram>(decoded);
    ++m_counters.peerIn[datagram.body.index()];
    if (isForTraffic(datagram.body))
        m_toTraffic(FromPeer{from, std::move(datagram)});
    else
        m_toControl(ControlFromPeer{from, std::move(datagram)});
}

void DatagramDispatcher::handleCaller(const Endpoint &caller, std::string_view bytes)
{
    auto decoded = wire::decodeCaller(bytes);
    if (const auto *error = std::get_if<wire::DecodeError>(&decoded)) {
        countError(m_counters.data, *error);
        return;
    }
    auto &message = std::get<CallerMessage>(decoded);
    if (const auto *flow = std::get_if<FlowMessage>(&message))
        ++m_counters.callerFlow[flow->index()];
    else
        ++m_counters.callerRequest[std::get<RequestMessage>(message).index()];
    m_toTraffic(FromCaller{caller, std::move(message)});
}

void DatagramDispatcher::handleTarget(const Endpoint &target, std::string_view bytes,
                                      SocketCounters &socket)
{
    auto decoded = wire::decodeTarget(bytes);
    if (const auto *error = std::get_if<wire::DecodeError>(&decoded)) {
        countError(socket, *error);
        return;
    }
    auto &datagram = std::get<TargetDatagram>(decoded);
    ++m_counters.targetIn[datagram.body.index()];
    m_toTraffic(FromTarget{target, std::move(datagram)});
}

} // namespace baobabtrail::daemon
