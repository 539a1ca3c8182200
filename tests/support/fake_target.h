#pragma once

#include "core/config/config.h"
#include "core/messages/request.h"
#include "support/virtual_time.h"

#include <deque>
#include <map>
#include <set>

namespace baobabtrail::fake {

/// \brief A target with slots. It records each run of a request and all misdirected messages.
class FakeTarget
{
public:
    /// Sends a message back on the link of the given daemon.
    using LinkSender = std::function<void(std::size_t daemon, LinkMessage message)>;

    FakeTarget(VirtualTime &time, ServiceId of, TargetConfig is)
        : service(of)
        , config(std::move(is))
        , m_time(time)
    {
    }

    ServiceId service;
    TargetConfig config;
    Duration serviceTime{20ms};
    bool dead = false;        ///< Ignores all messages.
    bool shedding = false;    ///< Refuses every attempt and flow.
    bool reportsIdle = false; ///< Reports no load, whatever it runs.
    std::set<FlowId> lost;    ///< Flows whose datagrams to the target are lost.

    std::map<RequestId, int> runs;
    std::vector<std::string> misdirected; ///< Kinds of messages for another service or target.
    TimePoint lastNewWork{};              ///< When it last received a dispatch or an open.
    std::map<FlowId, FlowToken> flows;

    [[nodiscard]] LoadReport load() const
    {
        if (reportsIdle)
            return {};
        return {static_cast<std::uint32_t>(m_running.size()),
                static_cast<std::uint32_t>(m_queue.size()),
                static_cast<std::uint32_t>(flows.size())};
    }

    void fromLink(std::size_t daemon, const LinkMessage &message, const LinkSender &reply)
    {
        if (dead)
            return;
        if (std::holds_alternative<LinkHello>(message))
            reply(daemon, LinkHelloReply{service, load()});
        else if (const Dispatch *dispatch = std::get_if<Dispatch>(&message))
            take(daemon, *dispatch, reply);
        else if (const CancelAttempt *cancel = std::get_if<CancelAttempt>(&message))
            withdraw(daemon, cancel->attempt, reply);
    }

    /// \return The answer, or nothing.
    [[nodiscard]] std::optional<TargetDatagram> fromDaemon(const TargetDatagram &datagram)
    {
        if (dead)
            return std::nullopt;
        TargetDatagram answer{datagram.caller, datagram.token, {}, load(), {}};
        const FlowId flow = std::visit([](const auto &m) { return m.flow; }, datagram.body);
        if (lost.contains(flow))
            return std::nullopt;
        if (datagram.token.service != service || datagram.token.target != config.id
            || datagram.token.generation != config.generation) {
            misdirected.push_back("flow message");
            answer.body = ResetFlow{flow, ResetCause::WrongService, {}};
            return answer;
        }
        if (std::holds_alternative<OpenFlow>(datagram.body)) {
            lastNewWork = m_time.now();
            answer.replyTo = datagram.replyTo;
            if (shedding) {
                answer.body = RefuseFlow{flow, RefusalCause::TargetShed, 100ms};
                return answer;
            }
            flows[flow] = datagram.token;
            answer.load = load();
            answer.body = AcceptFlow{flow, datagram.token};
            return answer;
        }
        if (!flows.contains(flow)) {
            if (std::holds_alternative<CloseFlow>(datagram.body))
                return std::nullopt;
            answer.body = ResetFlow{flow, ResetCause::UnknownFlow, {}};
            return answer;
        }
        if (std::holds_alternative<CloseFlow>(datagram.body)) {
            flows.erase(flow);
            return std::nullopt;
        }
        if (const FlowData *data = std::get_if<FlowData>(&datagram.body))
            answer.body = FlowData{flow, datagram.token, "echo " + data->payload};
        else
            answer.body = KeepAliveAck{flow, datagram.token};
        return answer;
    }

private:
    struct Attempt
    {
        std::size_t daemon = 0;
        Dispatch dispatch;
        TimePoint deadline;
    };

    void take(std::size_t daemon, const Dispatch &dispatch, const LinkSender &reply)
    {
        lastNewWork = m_time.now();
        if (dispatch.service != service) {
            misdirected.push_back("dispatch");
            return;
        }
        if (shedding) {
            reply(daemon, AttemptNotRun{dispatch.attempt, load(), RefusalCause::TargetShed});
            return;
        }
        m_queue.push_back({daemon, dispatch, m_time.now() + dispatch.timeLeft});
        startNext(reply);
    }

    void startNext(const LinkSender &reply)
    {
        while (m_running.size() < config.slots && !m_queue.empty()) {
            const Attempt next = std::move(m_queue.front());
            m_queue.pop_front();
            if (next.deadline <= m_time.now()) {
                reply(next.daemon,
                      AttemptNotRun{next.dispatch.attempt, load(), RefusalCause::DeadlinePassed});
                continue;
            }
            ++runs[next.dispatch.request];
            m_running.insert(next.dispatch.attempt);
            m_time.after(serviceTime, [this, next, reply] { finish(next, reply); });
        }
    }

    void finish(const Attempt &attempt, const LinkSender &reply)
    {
        m_running.erase(attempt.dispatch.attempt);
        if (!dead)
            reply(attempt.daemon, AttemptDone{attempt.dispatch.attempt, load(),
                                              "done " + attempt.dispatch.payload});
        startNext(reply);
    }

    void withdraw(std::size_t daemon, AttemptId attempt, const LinkSender &reply)
    {
        const auto isIt = [&](const Attempt &a) { return a.dispatch.attempt == attempt; };
        if (std::erase_if(m_queue, isIt) > 0)
            reply(daemon, AttemptNotRun{attempt, load(), RefusalCause::Cancelled});
    }

    VirtualTime &m_time;
    std::set<AttemptId> m_running;
    std::deque<Attempt> m_queue;
};

} // namespace baobabtrail::fake
