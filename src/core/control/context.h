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

/// \brief What the parts of a ControlNode share: its time, its random numbers, its timers, and the
/// calls that wait for a reply.
///
/// Parts hand in a function and get it called when the time or the reply comes. Nothing here does
/// input or output: calls leave as actions and replies come in as events.
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
    /// \return A number from 0 to \a count - 1.
    [[nodiscard]] std::size_t pick(std::size_t count);

    void emit(ControlAction action);
    void send(const Endpoint &peer, PeerMessage message);
    void notice(Severity severity, Part part, std::string text, std::string change = {});

    void after(Duration wait, Callback callback);
    /// \brief Calls the platform; \a handler gets the result.
    void call(PlatformRequest request, PlatformHandler handler);
    /// \brief Asks a peer over HTTP, one question at a time for each peer.
    void fetch(const Endpoint &records, RecordsMessage message, FetchHandler handler);

    /// \brief Begins an event; actions go to \a out until leave().
    void beginEvent(TimePoint now, std::chrono::sys_seconds unixNow, ControlActions &out);
    void endEvent() noexcept { m_out = nullptr; }
    /// \return How late the earliest timer is; large after the process was paused.
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
    std::unordered_map<Endpoint, std::deque<PendingFetch>>
        m_fetchQueues; ///< The first one is asked.
};

} // namespace baobabtrail
