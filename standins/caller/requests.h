#pragma once

#include "caller/caller_settings.h"
#include "core/messages/request.h"
#include "core/random.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabtrail::standins {

/// \brief Requests at a given rate, whatever becomes of the ones before.
class Requests
{
public:
    using Send = std::function<void(const CallerMessage &)>;

    Requests(const CallerSettings &settings, Random &random, Send send, TimePoint now);

    void tick(TimePoint now);
    void receive(const RequestMessage &message, TimePoint now);
    /// \brief Starts no more.
    void stop() noexcept { m_stopped = true; }

    [[nodiscard]] std::size_t pending() const noexcept { return m_pending; }
    [[nodiscard]] boost::json::object stats() const;
    /// \return Ids of the requests that were answered, and of those that were refused as not run.
    [[nodiscard]] boost::json::object ids() const;

private:
    enum class State { Reserving, Sent, Answered, NotRun, Unknown, TimedOut };
    struct Entry
    {
        State state = State::Reserving;
        ReservationToken token;
        std::uint32_t attempt = 0;
        std::string payload;
        TimePoint started;
        TimePoint deadline;
        TimePoint nextSend;
        Duration retransmission{0};
        std::vector<std::optional<std::string>> parts;
    };

    /// \return Whether the request still waits for its outcome.
    [[nodiscard]] static bool isOpen(const Entry &entry) noexcept;
    void start(TimePoint now);
    void send(const RequestId &id, Entry &entry, TimePoint now);
    void finish(Entry &entry, State state, const char *counter);
    void on(Entry &entry, const Reserved &message, TimePoint now);
    void on(Entry &entry, const Answer &message, TimePoint now);
    void on(Entry &entry, const NotRun &message, TimePoint now);
    void on(Entry &entry, const OutcomeUnknown &message, TimePoint now);
    template <typename Other>
    void on(Entry &, const Other &, TimePoint)
    {
    }
    [[nodiscard]] bool isAnswerTo(const RequestId &id, const Entry &entry) const;

    const CallerSettings &m_settings;
    Random &m_random;
    Send m_send;
    TimePoint m_nextStart;
    bool m_stopped = false;
    std::size_t m_pending = 0;
    std::unordered_map<RequestId, Entry> m_entries; ///< Kept to the end: late messages are judged.
    std::vector<RequestId> m_active;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<double> m_latencies; ///< Milliseconds, of answered requests.
};

} // namespace baobabtrail::standins
