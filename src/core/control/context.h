#pragma once

#include "core/control/actions.h"
#include "core/control/backoff.h"
#include "core/control/control_node.h"
#include "core/random.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace baobabtrail {

/// \brief State shared by the components of a ControlNode: current time, random numbers, timers and
/// the calls that wait for a reply.
///
/// Components register callbacks for timers and replies. Nothing here does I/O: calls are emitted
/// as actions, and replies arrive as events.
class ControlContext
{
public:
    using Callback = std::function<void()>;
    using PlatformHandler = std::function<void(const PlatformResult &)>;
    using FetchHandler = std::function<void(const std::optional<RecordsMessage> &)>;

    ControlContext(NodeIdentity identity, ControlSettings settings, std::uint64_t seed);

    [[nodiscard]] const NodeIdentity &identity() const noexcept { return m_identity; }
    [[nodiscard]] const ControlSettings &settings() const noexcept { return m_settings; }
    [[nodiscard]] Random &random() noexcept { return m_random; }
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] std::chrono::sys_seconds unixNow() const noexcept { return m_unixNow; }
    /// \return A random number from 0 to \a count - 1.
    [[nodiscard]] std::size_t pick(std::size_t count);

    void emit(ControlAction action);
    void send(const Endpoint &peer, PeerMessage message);
    void notice(Severity severity, Part part, std::string text, std::string change = {});

    void after(Duration wait, Callback callback);
    /// \brief Calls the platform and passes the result to \a handler.
    void call(PlatformRequest request, PlatformHandler handler);
    /// \brief Queries a peer over HTTP; further queries to the same peer are queued until it
    /// answers.
    void fetch(const Endpoint &records, RecordsMessage message, FetchHandler handler);

    /// \brief Starts the handling of an event; actions are appended to \a out until endEvent().
    void beginEvent(TimePoint now, std::chrono::sys_seconds unixNow, ControlActions &out);
    void endEvent() noexcept { m_out = nullptr; }
    /// \return By how much the earliest timer is overdue; large after the process stalled.
    [[nodiscard]] Duration timerLateness() const;
    void runDueTimers();
    [[nodiscard]] std::optional<TimePoint> nextTimer() const;
    void deliver(const PlatformReply &reply);
    void deliver(const FetchResult &result);

private:
    struct PendingFetch
    {
        RecordsMessage message;
        FetchHandler handler;
    };

    NodeIdentity m_identity;
    ControlSettings m_settings;
    Random m_random;
    TimePoint m_now{};
    std::chrono::sys_seconds m_unixNow{};
    ControlActions *m_out = nullptr;
    std::multimap<TimePoint, Callback> m_timers;
    std::uint64_t m_lastCall = 0;
    std::unordered_map<CallId, PlatformHandler> m_calls;
    std::unordered_map<Endpoint, std::deque<PendingFetch>> m_fetchQueues; ///< Front one in flight.
};

} // namespace baobabtrail
