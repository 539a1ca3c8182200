#include "target/flow_table.h"

#include "wire/codec.h"

namespace baobabtrail::standins {

namespace {

constexpr Duration TickPeriod = 20ms;
constexpr Duration ForgetAfter = 3min;

[[nodiscard]] FlowId flowOf(const FlowMessage &message)
{
    return std::visit([](const auto &m) { return m.flow; }, message);
}

} // namespace

FlowTable::FlowTable(boost::asio::io_context &context, std::uint16_t port, TargetState &state)
    : m_state(state)
    , m_port(context, port,
             [this](const Endpoint &from, std::string_view bytes) { receive(from, bytes); })
    , m_ticker(context, TickPeriod, [this] { tick(); })
{
}

void FlowTable::dropAll()
{
    m_flows.clear();
    m_state.load.connections = 0;
}

bool FlowTable::isMine(const FlowToken &token)
{
    const TargetSettings &settings = m_state.settings;
    if (token.service != settings.service || token.target != settings.target
        || token.generation < m_state.generation)
        return false;
    m_state.generation = token.generation;
    return true;
}

void FlowTable::receive(const Endpoint &from, std::string_view bytes)
{
    const auto decoded = wire::decodeTarget(bytes);
    const auto *datagram = std::get_if<TargetDatagram>(&decoded);
    if (!datagram) {
        m_state.count("malformed");
        return;
    }
    if (!isMine(datagram->token)) {
        m_state.count("wrongService");
        TargetDatagram reply = *datagram;
        reply.load = m_state.reported();
        reply.body = ResetFlow{flowOf(datagram->body), ResetCause::WrongService, Duration{0}};
        send(datagram->replyTo, reply);
        return;
    }
    if (const auto *ask = std::get_if<OpenFlow>(&datagram->body))
        open(from, *datagram, *ask);
    else
        inFlow(*datagram);
}

void FlowTable::open(const Endpoint &, const TargetDatagram &datagram, const OpenFlow &ask)
{
    const TargetSettings &settings = m_state.settings;
    TargetDatagram reply = datagram;
    const bool known = m_flows.contains(ask.flow);
    if (!known && m_state.draining) {
        m_state.count("flowsRefused");
        reply.body = RefuseFlow{ask.flow, RefusalCause::Stopping, Duration{0}};
    } else if (!known && m_flows.size() >= settings.maxFlows) {
        m_state.count("flowsRefused");
        reply.body = RefuseFlow{ask.flow, RefusalCause::Overload, 1s};
    } else {
        m_flows[ask.flow] = {datagram.caller, datagram.token, now(), now() + settings.pushPeriod};
        if (!known)
            m_state.count("flowsOpened");
        m_state.load.connections = static_cast<std::uint32_t>(m_flows.size());
        reply.body = AcceptFlow{ask.flow, datagram.token};
    }
    reply.load = m_state.reported();
    send(datagram.replyTo, reply);
}

void FlowTable::inFlow(const TargetDatagram &datagram)
{
    const FlowId id = flowOf(datagram.body);
    TargetDatagram reply = datagram;
    reply.load = m_state.reported();
    const auto found = m_flows.find(id);
    const bool closes = std::holds_alternative<CloseFlow>(datagram.body);
    if (found == m_flows.end()) {
        if (closes)
            return;
        m_state.count("unknownFlow");
        reply.body = ResetFlow{id, ResetCause::UnknownFlow, Duration{0}};
        send(Endpoint{}, reply);
        return;
    }
    if (closes) {
        m_state.count("flowsClosed");
        m_flows.erase(found);
        m_state.load.connections = static_cast<std::uint32_t>(m_flows.size());
        return;
    }
    found->second.caller = datagram.caller;
    found->second.heard = now();
    if (found->second.token.epoch < datagram.token.epoch)
        found->second.token = datagram.token; // Token renewed under a newer key epoch.
    if (std::holds_alternative<KeepAlive>(datagram.body))
        reply.body = KeepAliveAck{id, datagram.token};
    else if (!std::holds_alternative<FlowData>(datagram.body))
        return;
    send(Endpoint{}, reply); // FlowData is echoed unchanged.
}

void FlowTable::tick()
{
    const TimePoint time = now();
    std::erase_if(m_flows,
                  [time](const auto &entry) { return time - entry.second.heard > ForgetAfter; });
    m_state.load.connections = static_cast<std::uint32_t>(m_flows.size());
    if (m_state.settings.pushPeriod == Duration{0})
        return;
    for (auto &[id, flow] : m_flows) {
        if (flow.nextPush <= time)
            push(id, flow);
    }
}

void FlowTable::push(FlowId id, Flow &flow)
{
    flow.nextPush += m_state.settings.pushPeriod;
    std::string payload = "push " + std::to_string(m_state.settings.service.value()) + ' '
                          + m_state.settings.name + ' ' + std::to_string(++m_pushed);
    send(Endpoint{}, {flow.caller, flow.token, Endpoint{}, std::nullopt,
                      FlowData{id, flow.token, std::move(payload)}});
}

void FlowTable::send(const Endpoint &via, const TargetDatagram &datagram)
{
    m_port.send(via.isNull() ? m_state.settings.uplink : via, wire::encode(datagram));
}

} // namespace baobabtrail::standins
