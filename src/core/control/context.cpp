#include "core/control/context.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace baobabtrail {

ControlContext::ControlContext(NodeIdentity identity, ControlSettings settings, std::uint64_t seed)
    : m_identity(std::move(identity))
    , m_settings(std::move(settings))
    , m_random(seed)
{
}

std::size_t ControlContext::pick(std::size_t count)
{
    return boost::random::uniform_int_distribution<std::size_t>{0, count - 1}(m_random);
}

void ControlContext::emit(ControlAction action)
{
    m_out->push_back(std::move(action));
}

void ControlContext::send(const Endpoint &peer, PeerMessage message)
{
    emit(ControlSendToPeer{peer, std::move(message)});
}

void ControlContext::notice(Severity severity, Part part, std::string text, std::string change)
{
    emit(Notice{severity, part, std::move(text), {}, std::move(change)});
}

void ControlContext::after(Duration wait, Callback callback)
{
    m_timers.emplace(m_now + wait, std::move(callback));
}

void ControlContext::call(PlatformRequest request, PlatformHandler handler)
{
    const CallId id{++m_lastCall};
    m_calls.emplace(id, std::move(handler));
    emit(PlatformCall{id, std::move(request)});
}

void ControlContext::fetch(const Endpoint &records, RecordsMessage message, FetchHandler handler)
{
    std::deque<PendingFetch> &queue = m_fetchQueues[records];
    queue.push_back({std::move(message), std::move(handler)});
    // A result carries only the peer's address: with two queries in flight their answers could be
    // mixed up.
    if (queue.size() == 1)
        emit(FetchFromPeer{records, queue.front().message});
}

void ControlContext::beginEvent(TimePoint now, std::chrono::sys_seconds unixNow,
                                ControlActions &out)
{
    m_now = std::max(m_now, now);
    m_unixNow = unixNow;
    m_out = &out;
}

Duration ControlContext::timerLateness() const
{
    if (m_timers.empty() || m_timers.begin()->first >= m_now)
        return Duration{0};
    return m_now - m_timers.begin()->first;
}

void ControlContext::runDueTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        auto due = m_timers.extract(m_timers.begin());
        due.mapped()();
    }
}

std::optional<TimePoint> ControlContext::nextTimer() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

void ControlContext::deliver(const PlatformReply &reply)
{
    auto call = m_calls.extract(reply.call);
    if (call)
        call.mapped()(reply.result);
}

void ControlContext::deliver(const FetchResult &result)
{
    const auto found = m_fetchQueues.find(result.records);
    if (found == m_fetchQueues.end())
        return;
    const FetchHandler handler = std::move(found->second.front().handler);
    found->second.pop_front();
    if (found->second.empty())
        m_fetchQueues.erase(found);
    else
        emit(FetchFromPeer{result.records, found->second.front().message});
    handler(result.message);
}

} // namespace baobabtrail
