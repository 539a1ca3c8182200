#pragma once

#include "core/messages/flow.h"
#include "support/udp_port.h"
#include "target/target_state.h"

#include <map>

namespace baobabtrail::standins {

/// \brief Accepts, answers and expires the flows of a target over UDP.
class FlowTable
{
public:
    FlowTable(boost::asio::io_context &context, std::uint16_t port, TargetState &state);

    [[nodiscard]] std::uint16_t port() const { return m_port.address().port; }
    /// \brief Drops the state of every flow without notifying callers or daemons.
    void dropAll();

private:
    struct Flow
    {
        Endpoint caller;
        FlowToken token;
        TimePoint heard;
        TimePoint nextPush;
    };

    void receive(const Endpoint &from, std::string_view bytes);
    /// \return Whether the token names this service and target and no outdated generation.
    [[nodiscard]] bool isMine(const FlowToken &token);
    void open(const Endpoint &from, const TargetDatagram &datagram, const OpenFlow &ask);
    void inFlow(const TargetDatagram &datagram);
    void tick();
    void push(FlowId id, Flow &flow);
    /// \param via Daemon that waits for the reply; a null endpoint sends through the fabric.
    void send(const Endpoint &via, const TargetDatagram &datagram);

    TargetState &m_state;
    std::map<FlowId, Flow> m_flows;
    UdpPort m_port;
    Ticker m_ticker;
    std::uint64_t m_pushed = 0;
};

} // namespace baobabtrail::standins
