#pragma once

#include "core/flows/pending_opens.h"
#include "core/traffic/handoffs.h"

#include <optional>

namespace baobabtrail {

/// \brief Places new flows, and forwards all messages of established flows by their tokens.
///
/// It keeps no state of established flows, so a daemon that has just started forwards them as well
/// as any other.
class FlowRouter
{
public:
    explicit FlowRouter(NodeContext &context);

    void fromCaller(const Endpoint &caller, FlowMessage message, Turn &turn);
    /// \brief Handles an OpenFlow that another daemon handed over.
    void fromPeer(Handoff ask, Turn &turn);
    void fromTarget(const Endpoint &address, TargetDatagram datagram, Turn &turn);

    /// \brief Drops pending opens that targets did not answer within the timeout.
    void advance(Turn &turn);
    [[nodiscard]] std::optional<TimePoint> nextTimer() const noexcept;
    [[nodiscard]] std::size_t pendingOpens() const noexcept { return m_pending.size(); }
    /// \return Whether an open waits for an answer of this target.
    [[nodiscard]] bool hasPendingOpen(TargetId target) const noexcept;

private:
    void open(const Endpoint &caller, OpenFlow message, Turn &turn);
    void place(Handoff ask, bool forwarded, Turn &turn);
    [[nodiscard]] bool offer(const Handoff &ask, TargetId target, Turn &turn);
    void refuse(const Handoff &ask, RefusalCause cause, Turn &turn);

    template <typename Message>
    void forwardToTarget(const Endpoint &caller, Message message, Turn &turn);
    void renewToken(const Endpoint &caller, KeepAlive &message, Turn &turn);
    void keepAlive(const Endpoint &caller, const KeepAlive &message, Turn &turn);

    void accepted(TargetDatagram &datagram, const AcceptFlow &accept, Turn &turn);
    void refused(TargetDatagram &datagram, const RefuseFlow &refusal, Turn &turn);
    void forwardToCaller(TargetDatagram datagram, Turn &turn);

    [[nodiscard]] bool verifyToken(FlowId flow, const FlowToken &token, const Endpoint &caller,
                                   Turn &turn);
    void reset(const Endpoint &caller, FlowId flow, ServiceId service, ResetCause cause,
               Duration reopenAfter, Turn &turn);

    NodeContext &m_context;
    PendingOpens m_pending;
};

} // namespace baobabtrail
