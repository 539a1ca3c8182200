#pragma once

#include "core/messages/request.h"
#include "support/virtual_time.h"

#include <map>
#include <optional>
#include <string>

namespace baobabtrail::fake {

/// \brief Outcome of a request as its caller saw it. Silent: neither an answer nor an outcome.
enum class Ending { Open, Answered, NotRun, Unknown, Silent };

/// \brief A caller with one request: reserves, sends and retransmits until it has an outcome or the
/// deadline has passed.
class FakeRequest
{
public:
    using Sender = std::function<void(CallerMessage)>;
    static constexpr Duration Retransmission = 120ms;
    static constexpr Duration Patience = 300ms; ///< Wait for an outcome after the deadline.

    FakeRequest(VirtualTime &time, const Reserve &ask, Sender send)
        : reserve(ask)
        , deadline(time.now() + ask.timeLeft)
        , m_time(time)
        , m_send(std::move(send))
    {
    }

    Reserve reserve;
    TimePoint deadline;
    TimePoint endedAt{};
    Ending ending = Ending::Open;
    std::string answer;
    RefusalCause refusal = RefusalCause::Overload; ///< Only with NotRun.
    UnknownCause unknown = UnknownCause::Expired;  ///< Only with Unknown.
    std::optional<ReservationToken> token;
    std::uint32_t extraReserves = 0; ///< Additional copies of each Reserve.
    std::size_t payloadBytes = 16;

    [[nodiscard]] std::string payload() const
    {
        return std::to_string(reserve.request.low) + std::string(payloadBytes, '.');
    }

    void step()
    {
        if (ending != Ending::Open)
            return;
        if (m_time.now() > deadline + Patience) {
            end(Ending::Silent);
            return;
        }
        if (token) {
            m_send(RequestMessage{RequestData{reserve.request, *token, payload()}});
        } else {
            Reserve ask = reserve;
            ask.timeLeft = deadline - m_time.now();
            ++reserve.attempt;
            for (std::uint32_t copy = 0; copy <= extraReserves; ++copy)
                m_send(RequestMessage{ask});
        }
        m_time.after(Retransmission, [this] { step(); });
    }

    void cancel()
    {
        if (token && ending == Ending::Open)
            m_send(RequestMessage{CancelRequest{reserve.request, *token}});
    }

    void receive(const RequestMessage &message)
    {
        if (const Reserved *reserved = std::get_if<Reserved>(&message)) {
            if (token || ending != Ending::Open)
                return;
            token = reserved->token;
            m_send(RequestMessage{RequestData{reserve.request, *token, payload()}});
        } else if (const NotRun *notRun = std::get_if<NotRun>(&message)) {
            // A refusal of another copy of the Reserve doesn't affect the reservation.
            if (token && token->owner != notRun->owner)
                return;
            refusal = notRun->cause;
            end(Ending::NotRun);
        } else if (const OutcomeUnknown *outcome = std::get_if<OutcomeUnknown>(&message)) {
            unknown = outcome->cause;
            end(Ending::Unknown);
        } else if (const Answer *part = std::get_if<Answer>(&message)) {
            m_parts[part->part] = part->payload;
            if (m_parts.size() < part->parts || ending != Ending::Open)
                return;
            for (const auto &[index, text] : m_parts)
                answer += text;
            end(Ending::Answered);
        }
    }

private:
    void end(Ending how)
    {
        if (ending != Ending::Open)
            return;
        ending = how;
        endedAt = m_time.now();
    }

    VirtualTime &m_time;
    Sender m_send;
    std::map<std::uint32_t, std::string> m_parts;
};

/// \brief A caller with one flow: opens it, sends data and keep-alives, reopens it after a reset.
class FakeFlow
{
public:
    using Sender = std::function<void(CallerMessage)>;
    static constexpr Duration Retransmission = 200ms;
    static constexpr Duration DataPeriod = 250ms;
    static constexpr Duration KeepAlivePeriod = 1s;

    FakeFlow(VirtualTime &time, FlowId id, ServiceId of, Sender send)
        : flow(id)
        , service(of)
        , m_time(time)
        , m_send(std::move(send))
    {
    }

    FlowId flow;
    ServiceId service;
    std::optional<FlowToken> token;
    TimePoint lastEcho{};
    std::vector<ResetCause> resets;
    int reopened = 0;
    int strangeEchoes = 0;
    int refusals = 0;

    void start()
    {
        sendOpen(m_incarnation);
        m_time.after(DataPeriod, [this] { sendData(); });
        m_time.after(KeepAlivePeriod, [this] { keepAlive(); });
    }

    void receive(const FlowMessage &message)
    {
        if (std::visit([](const auto &m) { return m.flow; }, message) != flow) {
            // Belongs to the flow that this one replaced, or to another caller.
            if (std::holds_alternative<FlowData>(message) && m_former.isNull())
                ++strangeEchoes;
            return;
        }
        if (const AcceptFlow *accept = std::get_if<AcceptFlow>(&message)) {
            // A later accept from the same target only renews the token with a newer key.
            const bool renews = token && token->target == accept->token.target
                                && token->epoch < accept->token.epoch;
            if (!token || renews)
                token = accept->token;
            lastEcho = m_time.now();
        } else if (const FlowData *data = std::get_if<FlowData>(&message)) {
            strangeEchoes += data->payload == "echo " + std::to_string(flow.value()) ? 0 : 1;
            lastEcho = m_time.now();
        } else if (std::holds_alternative<KeepAliveAck>(message)) {
            m_unanswered = 0;
        } else if (std::holds_alternative<RefuseFlow>(message)) {
            ++refusals;
        } else if (const ResetFlow *reset = std::get_if<ResetFlow>(&message)) {
            if (!token)
                return;
            resets.push_back(reset->cause);
            reopen(reset->reopenAfter);
        }
    }

private:
    void sendOpen(int incarnation)
    {
        if (token || incarnation != m_incarnation)
            return;
        m_send(FlowMessage{OpenFlow{flow, service, m_former, m_attempt++}});
        m_time.after(Retransmission, [this, incarnation] { sendOpen(incarnation); });
    }

    void sendData()
    {
        if (token)
            m_send(FlowMessage{FlowData{flow, *token, std::to_string(flow.value())}});
        m_time.after(DataPeriod, [this] { sendData(); });
    }

    void keepAlive()
    {
        if (token)
            m_send(FlowMessage{KeepAlive{flow, *token, m_unanswered++}});
        m_time.after(KeepAlivePeriod, [this] { keepAlive(); });
    }

    void reopen(Duration wait)
    {
        ++reopened;
        m_former = flow;
        flow = FlowId{flow.value() + 1'000'000};
        token.reset();
        m_unanswered = 0;
        m_attempt = 0;
        const int incarnation = ++m_incarnation;
        m_time.after(wait, [this, incarnation] { sendOpen(incarnation); });
    }

    VirtualTime &m_time;
    Sender m_send;
    FlowId m_former;
    std::uint32_t m_unanswered = 0;
    std::uint32_t m_attempt = 0;
    int m_incarnation = 0;
};

} // namespace baobabtrail::fake
